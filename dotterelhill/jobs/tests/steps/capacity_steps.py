from __future__ import annotations

from behave import given, use_step_matcher, when

use_step_matcher("re")


@given(r'minions? "(?P<names>[^"]*)" (?:has|have) (?P<cpu>\d+) processors')
@when(r'minions? "(?P<names>[^"]*)" (?:has|have) (?P<cpu>\d+) processors')
def resize_processors(context, names, cpu):
    for name in names.split():
        context.fleet.list_minion(name, 1000 * int(cpu))


@given(r'minion "(?P<name>\w+)" is in failure domain "(?P<domain>\w+)"')
def move_minion(context, name, domain):
    context.fleet.list_minion(name, domain=domain)
