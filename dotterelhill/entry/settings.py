"""Settings of one entry process, from flags and environment variables."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Annotated, Any, Literal, cast, get_args
from urllib.parse import urlsplit

from pydantic import AfterValidator, Field, SecretStr, ValidationError, ValidationInfo
from pydantic import field_validator as validates
from pydantic_settings import (
    BaseSettings,
    EnvSettingsSource,
    PydanticBaseSettingsSource,
    SettingsConfigDict,
)

ENVIRONMENT_PREFIX = "DOTTERELHILL_"
MIN_DEPLOYMENT_KEY_CHARACTERS = 32
# A CURVE key has 32 bytes; Z85 encodes 4 bytes as 5 characters.
CURVE_KEY_CHARACTERS = 40
MIN_TRACE_BYTES = 4096
MAX_TRACE_BYTES = 1 << 30
# VMs have no disks, so a trace counts toward the 128 MB of memory that control may use on a node.
DEFAULT_TRACE_BYTES = 8 << 20
MAX_BALANCER_DELAY_SECONDS = 300.0

LogLevel = Literal["debug", "info", "notice", "warning", "error"]

_Z85 = r"^[0-9A-Za-z.\-:+=^!/*?&<>()\[\]{}@%$#]{40}$"
_PORT_RANGE = "a whole number from 0 to 65535; 0 takes a free port"
_NAME_RANGE = "1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit"
_URL_RANGE = "http://HOST:PORT or https://HOST:PORT"
_KEY_RANGE = f"{CURVE_KEY_CHARACTERS} characters of Z85"


def _validate_url(value: str) -> str:
    parts = urlsplit(value)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("not an HTTP URL with a host")
    return value.rstrip("/")


def _validate_address(value: str) -> str:
    if ip_address(value).is_unspecified:
        raise ValueError("wildcard address")
    return value


def _validate_optional_address(value: str) -> str:
    return _validate_address(value) if value else value


def _validate_deployment_key(value: SecretStr) -> SecretStr:
    if len(value.get_secret_value()) < MIN_DEPLOYMENT_KEY_CHARACTERS:
        raise ValueError("too short")
    return value


def _validate_curve_secret(value: SecretStr) -> SecretStr:
    if len(value.get_secret_value()) != CURVE_KEY_CHARACTERS:
        raise ValueError("wrong length")
    return value


Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Port = Annotated[int, Field(ge=0, le=65535)]
Url = Annotated[str, AfterValidator(_validate_url)]
Address = Annotated[str, AfterValidator(_validate_address)]


def _setting(meaning: str, accepted: str, default: Any = ...) -> Any:
    return Field(
        default=default,
        description=meaning,
        json_schema_extra={"accepted": accepted},
    )


class EntrySettings(BaseSettings):
    """Configuration of one entry process.

    A flag takes precedence over the environment variable, which takes precedence over the default.
    """

    model_config = SettingsConfigDict(
        env_prefix=ENVIRONMENT_PREFIX, extra="forbid", frozen=True, hide_input_in_errors=True
    )

    entry_name: Name = _setting("name of this entry VM", _NAME_RANGE)
    failure_domain: Name = _setting("failure domain of this VM", _NAME_RANGE)
    region: Name = _setting("region of the failure domain", _NAME_RANGE)
    listen_host: Address = _setting(
        "address of the caller, forward and peer ports, as peers and the balancer reach it",
        "an IP address, no wildcard",
    )
    caller_port: Port = _setting("port for callers", _PORT_RANGE, 8080)
    forward_port: Port = _setting("port for requests forwarded by peers", _PORT_RANGE, 8081)
    peer_port: Port = _setting("port for messages of peers", _PORT_RANGE, 8082)
    admin_host: Address = _setting(
        "address of the admin port",
        "an IP address, no wildcard; the callers' address only when that is a loopback address",
        "127.0.0.1",
    )
    admin_port: Port = _setting("port for operators and health checks", _PORT_RANGE, 8083)
    log_url: Url = _setting("base URL of the log service", _URL_RANGE)
    vm_list_url: Url = _setting("URL of the list of VMs", _URL_RANGE)
    peer_secret_key: Annotated[SecretStr, AfterValidator(_validate_curve_secret)] = _setting(
        "CURVE secret key of the deployment", _KEY_RANGE
    )
    peer_public_key: Annotated[str, Field(pattern=_Z85)] = _setting(
        "CURVE public key of the deployment", f"{_KEY_RANGE}, the pair of the secret key"
    )
    deployment_key: Annotated[SecretStr, AfterValidator(_validate_deployment_key)] = _setting(
        "HMAC key of requests between entry processes",
        f"at least {MIN_DEPLOYMENT_KEY_CHARACTERS} characters",
    )
    log_retention_seconds: Annotated[float, Field(ge=600, le=31_536_000, allow_inf_nan=False)] = (
        _setting(
            "seconds for which the log keeps records",
            "a number from 600 to 31536000",
            86_400.0,
        )
    )
    statsd_host: Annotated[str, AfterValidator(_validate_optional_address)] = _setting(
        "address of the statsd server", "an IP address; empty sends no metrics", ""
    )
    statsd_port: Annotated[int, Field(ge=1, le=65535)] = _setting(
        "UDP port of the statsd server", "a whole number from 1 to 65535", 8125
    )
    balancer_delay_seconds: Annotated[
        float, Field(ge=0, le=MAX_BALANCER_DELAY_SECONDS, allow_inf_nan=False)
    ] = _setting(
        "seconds from a failing /readyz until the balancer sends nothing more",
        f"a number from 0 to {MAX_BALANCER_DELAY_SECONDS:g}",
        10.0,
    )
    trace_file: str = _setting(
        "file that gets the events of every slice", "a path; empty records nothing", ""
    )
    trace_bytes: Annotated[int, Field(ge=MIN_TRACE_BYTES, le=MAX_TRACE_BYTES)] = _setting(
        "most bytes of one trace file",
        f"a whole number from {MIN_TRACE_BYTES} to {MAX_TRACE_BYTES}",
        DEFAULT_TRACE_BYTES,
    )
    log_level: LogLevel = _setting(
        "least level of the lines that are logged", ", ".join(get_args(LogLevel)), "info"
    )

    @validates("forward_port", "peer_port", "admin_port")
    @classmethod
    def _require_distinct_port(cls, value: int, info: ValidationInfo) -> int:
        for name in ("caller_port", "forward_port", "peer_port", "admin_port"):
            if value and name != info.field_name and info.data.get(name) == value:
                raise ValueError(f"same port as {name}")
        return value

    @validates("admin_host")
    @classmethod
    def _require_separate_admin_address(cls, value: str, info: ValidationInfo) -> str:
        if value == info.data.get("listen_host") and not ip_address(value).is_loopback:
            raise ValueError("same address as listen_host")
        return value

    @validates("peer_public_key")
    @classmethod
    def _require_matching_public_key(cls, value: str, info: ValidationInfo) -> str:
        secret = info.data.get("peer_secret_key")
        if secret is None:
            return value
        import zmq

        try:
            expected = zmq.curve_public(secret.get_secret_value().encode()).decode()
        except (ValueError, zmq.ZMQError):
            raise ValueError("peer_secret_key is not a CURVE key") from None
        if value != expected:
            raise ValueError("not the pair of peer_secret_key")
        return value


def flag_of(name: str) -> str:
    """Return the command-line flag of a setting.

    >>> flag_of("caller_port")
    '--caller-port'
    """
    return "--" + name.replace("_", "-")


def variable_of(name: str) -> str:
    """Return the environment variable of a setting.

    >>> variable_of("caller_port")
    'DOTTERELHILL_CALLER_PORT'
    """
    return ENVIRONMENT_PREFIX + name.upper()


def accepted_values(name: str) -> str:
    """Return the description of the values that a setting accepts."""
    extra = cast(dict[str, str], EntrySettings.model_fields[name].json_schema_extra)
    return extra["accepted"]


def is_secret(name: str) -> bool:
    """Return whether a setting's value must not be shown."""
    return EntrySettings.model_fields[name].annotation is SecretStr


@dataclass(frozen=True, slots=True)
class SettingFault:
    """One wrong, missing or unknown setting.

    :param name: name of the setting; for an unknown variable, the variable's name
    :param reason: what is wrong; never contains a secret value
    """

    name: str
    reason: str

    def __str__(self) -> str:
        if self.name not in EntrySettings.model_fields:
            return f"{self.name}: {self.reason}"
        return (
            f"{flag_of(self.name)} ({variable_of(self.name)}): {self.reason}; "
            f"accepted: {accepted_values(self.name)}"
        )


class SettingsError(ValueError):
    """Raised when settings are wrong; ``faults`` holds every wrong, missing or unknown setting."""

    def __init__(self, faults: tuple[SettingFault, ...]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class ShownSetting:
    """One setting in force; the value of a secret setting is masked.

    :param source: ``flag``, ``environment`` or ``default``
    """

    name: str
    value: str | int | float
    source: str


class _MappingSource(EnvSettingsSource):
    """Settings source that reads variables from a mapping instead of ``os.environ``."""

    def __init__(self, settings_class: type[BaseSettings], variables: Mapping[str, str]) -> None:
        self._variables = variables
        super().__init__(settings_class)

    def _load_env_vars(self) -> Mapping[str, str | None]:
        return {name.lower(): value for name, value in self._variables.items()}


def _settings_class_for(variables: Mapping[str, str]) -> type[EntrySettings]:
    class SourcedSettings(EntrySettings):
        @classmethod
        def settings_customise_sources(
            cls,
            settings_cls: type[BaseSettings],
            init_settings: PydanticBaseSettingsSource,
            env_settings: PydanticBaseSettingsSource,
            dotenv_settings: PydanticBaseSettingsSource,
            file_secret_settings: PydanticBaseSettingsSource,
        ) -> tuple[PydanticBaseSettingsSource, ...]:
            return init_settings, _MappingSource(settings_cls, variables)

    return SourcedSettings


def _unknown_variable_faults(variables: Mapping[str, str]) -> list[SettingFault]:
    known_variables = {variable_of(name) for name in EntrySettings.model_fields}
    return [
        SettingFault(variable, "no setting has this name")
        for variable in sorted(variables)
        if variable.startswith(ENVIRONMENT_PREFIX) and variable not in known_variables
    ]


def _field_fault(
    error_details: Any, flags: Mapping[str, str], variables: Mapping[str, str]
) -> SettingFault:
    name = str(error_details["loc"][0]) if error_details["loc"] else "(settings)"
    if error_details["type"] == "missing":
        return SettingFault(name, "missing")
    reason = error_details["msg"].removeprefix("Value error, ")
    if name not in EntrySettings.model_fields or is_secret(name):
        return SettingFault(name, reason)
    value = flags.get(name, variables.get(variable_of(name)))
    return SettingFault(name, f"got {value!r}: {reason}")


def read_settings(
    flags: Mapping[str, str], variables: Mapping[str, str] | None = None
) -> EntrySettings:
    """Return the settings read from flags, environment variables and defaults.

    :param flags: values of the flags that were given, by name of the setting
    :param variables: environment variables; ``os.environ`` when None
    :raises SettingsError: with every wrong, missing and unknown setting
    """
    variables = os.environ if variables is None else variables
    faults = _unknown_variable_faults(variables)
    try:
        settings = _settings_class_for(variables)(**cast(dict[str, Any], dict(flags)))
    except ValidationError as error:
        errors = error.errors(include_url=False, include_input=False, include_context=False)
        faults += [_field_fault(error_details, flags, variables) for error_details in errors]
        raise SettingsError(tuple(faults)) from None
    if faults:
        raise SettingsError(tuple(faults))
    return settings


def list_settings(
    settings: EntrySettings, flags: Mapping[str, str], variables: Mapping[str, str] | None = None
) -> tuple[ShownSetting, ...]:
    """Return every setting in force with the source of its value.

    :param flags: as given to :func:`read_settings`
    :param variables: as given to :func:`read_settings`
    """
    variables = os.environ if variables is None else variables
    shown = []
    for name in EntrySettings.model_fields:
        value = "********" if is_secret(name) else getattr(settings, name)
        source = "environment" if variable_of(name) in variables else "default"
        shown.append(ShownSetting(name, value, "flag" if name in flags else source))
    return tuple(shown)
