from __future__ import annotations

import asyncio
import contextlib
import io
import json
import tempfile
from pathlib import Path
from unittest import mock

import looptime
import msgspec
from behave import given, then, when

from dotterelhill.commands import main, manifest
from dotterelhill.commands.admin_client import InitialManifest
from dotterelhill.commands.publication import ConfigReader, publish
from dotterelhill.commands.status import CommandError
from dotterelhill.log.interface import LogError, LogRecord, LogTrimmedError, ReadResult
from dotterelhill.manifest.history import Publication, Verdict

LIMITS = {"requests_per_second": 100, "in_flight": 50, "cpu": 32, "memory_gb": 125}
DOCUMENT = {
    "members": {"clubs": {"limits": LIMITS}},
    "limits": LIMITS,
    "failure_domains": {"caxias": {"region": "serra"}},
}


def encode_publication(publication_id, base=0, document=DOCUMENT):
    return msgspec.json.encode(Publication(publication_id, base, document))


class FakeLog:
    """In-memory log; ``append_faults`` holds one fault for each of the next appends."""

    def __init__(self, first_offset=1):
        self.records, self.earliest_offset, self.next_offset = [], first_offset, first_offset
        self.append_faults, self.delayed_records = [], []
        self.is_readable = True

    def add(self, data):
        self.records.append(LogRecord(self.next_offset, data))
        self.next_offset += 1

    async def append(self, stream, records):
        fault = self.append_faults.pop(0) if self.append_faults else "none"
        match fault:
            case "refused":
                raise LogError("connection refused")
            case "delayed":
                self.delayed_records += records
                raise LogError("no answer", is_effect_unknown=True)
            case "raced":
                self.add(encode_publication("other"))
        for data in self.delayed_records + list(records):
            self.add(data)
        self.delayed_records = []
        if fault in ("lost", "lost-unreadable"):
            self.is_readable = fault == "lost"
            raise LogError("answer lost", is_effect_unknown=True)
        return self.next_offset - len(records)

    async def read(self, stream, start, *, limit=1000, wait_seconds=0.0):
        if not self.is_readable:
            raise LogError("connection refused")
        if start < self.earliest_offset:
            raise LogTrimmedError(self.earliest_offset)
        matching_records = tuple(record for record in self.records if record.offset >= start)
        return ReadResult(matching_records[:limit], self.next_offset, self.earliest_offset)

    async def close(self):
        pass


@given("a manifest file with 3 faults")
def write_faulty_file(context):
    document = json.loads(json.dumps(DOCUMENT)) | {"colour": "red"}
    document["limits"]["cpu"] = -1
    document["services"] = {
        "desk": {"member": "clubs", "path_prefix": "/d", "deadline_seconds": 99}
    }
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = Path(folder.name) / "fleet.json"
    context.file.write_text(json.dumps(document))


@when('"manifest {verb}" runs on it')
def run_on_file(context, verb):
    context.log = FakeLog()

    async def use_fake_log(log_url, use):
        return await use(context.log)

    flags = ["--log-url", "http://127.0.0.1:9"] if verb == "publish" else []
    output = io.StringIO()
    with mock.patch.object(manifest, "_with_log", use_fake_log), contextlib.redirect_stdout(output):
        context.status = main.run(["manifest", verb, str(context.file), *flags])
    context.output = output.getvalue()


@then("the exit status is {status:d}")
def check_status(context, status):
    assert context.status == status, (context.status, context.output)


@then("the output names the paths {paths}")
def check_paths(context, paths):
    named = [line.split()[0] for line in context.output.splitlines()[1:]]
    assert sorted(named) == sorted(paths.split(", ")), context.output


@then("the log has {number:d} records")
def check_records(context, number):
    assert len(context.log.records) == number, context.log.records


@given("an empty log")
def make_log(context):
    context.log = FakeLog()


@given("an empty log that loses the answer of 1 append after it took effect")
def make_losing_log(context):
    context.log = FakeLog()
    context.log.append_faults = ["lost"]


@given("an empty log that performs 1 append only when the next one arrives")
def make_delaying_log(context):
    context.log = FakeLog()
    context.log.append_faults = ["delayed"]


@given('an empty log where publication "other" arrives just before the next append')
def make_raced_log(context):
    context.log = FakeLog()
    context.log.append_faults = ["raced"]


@given("an empty log that loses the answer of 9 appends and then can't be read")
def make_unreadable_log(context):
    context.log = FakeLog()
    context.log.append_faults = ["lost-unreadable"] * 9


@given("an empty log that refuses every call")
def make_refusing_log(context):
    context.log = FakeLog()
    context.log.is_readable = False
    context.log.append_faults = ["refused"] * 9


@given("a log whose first version is past retention")
def make_trimmed_log(context):
    context.log = FakeLog(first_offset=11)
    context.log.add(encode_publication("stale", base=3))


def run_publish(context, document=DOCUMENT, publication_id="mine", **options):
    context.report = context.error = None
    # looptime skips the pauses between attempts.
    loop = looptime.new_event_loop()
    try:
        work = publish(context.log, document, publication_id, wait_seconds=5.0, **options)
        context.report = loop.run_until_complete(work)
    except CommandError as error:
        context.error = error
    finally:
        loop.close()


@when("a manifest is published")
def publish_manifest(context):
    run_publish(context)


@when('a manifest is published with id "{publication_id}"')
def publish_with_id(context, publication_id):
    run_publish(context, publication_id=publication_id)


@when('another manifest is published with id "{publication_id}"')
def publish_other_with_id(context, publication_id):
    run_publish(context, DOCUMENT | {"autonomy_seconds": 120}, publication_id)


@when("a manifest is published on base {base:d}")
def publish_on_base(context, base):
    run_publish(context, base=base)


@when("a manifest is published with the one in force at an entry process")
def publish_with_initial_manifest(context):
    run_publish(
        context, initial_manifest=InitialManifest(7, encode_publication("seventh", base=3), 11)
    )


@then("it is accepted as version {version:d} after {attempts:d} appends")
def check_accepted(context, version, attempts):
    assert context.error is None, context.error
    report = context.report
    assert report.verdict.verdict is Verdict.ACCEPTED, report
    assert (report.verdict.offset, report.attempts) == (version, attempts), report


@then("every reader has version {version:d} in force")
def check_readers(context, version):
    reader = ConfigReader(context.log)
    asyncio.run(reader.read_to_end())
    assert reader.history.version == version
    assert len(context.log.records) == 2, "the repeat is in the log but changes nothing"


@then('it is refused and publication "{winner}" is named as the winner with version {version:d}')
def check_winner(context, winner, version):
    lines = "\n".join(manifest.publish_lines(context.report))
    assert f"publication {winner} won as version {version}" in lines, lines


@then('the command ends with status {status:d} and names "{text}"')
def check_error(context, status, text):
    assert context.error is not None, context.report
    assert context.error.status == status and text in str(context.error), context.error
