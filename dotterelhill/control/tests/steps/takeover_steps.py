from __future__ import annotations

from collections import Counter

from behave import then, use_step_matcher, when

from dotterelhill.control.tests import domain_world, recut_world, takeover_world

use_step_matcher("re")


def play_days(context, play, seeds):
    context.faults, context.counts = [], Counter()
    for seed in seeds.split():
        faults, counts = play(int(seed))
        context.faults.extend((int(seed), text) for text in faults.values())
        context.counts += counts


@when(r'days with changes of the leader are played with seeds "(?P<seeds>[^"]*)"')
def play_leader_days(context, seeds):
    play_days(context, takeover_world.play, seeds)


@when(r'days with troubles of failure domains and clocks are played with seeds "(?P<seeds>[^"]*)"')
def play_domain_days(context, seeds):
    play_days(context, domain_world.play, seeds)


@when(r'days on which minions begin again and are cut off are played with seeds "(?P<seeds>[^"]*)"')
def play_recut_days(context, seeds):
    play_days(context, recut_world.play, seeds)


@when(
    r'days on which minions begin again in the kind "(?P<kind>[^"]*)" are played with seeds '
    r'"(?P<seeds>[^"]*)"(?P<is_late>, and calls are carried out late)?'
)
def play_rebirth_days(context, kind, seeds, is_late):
    play_days(
        context,
        lambda seed: recut_world.play_rebirths(seed, kind, has_late_calls=is_late is not None),
        seeds,
    )


@then(r"no work was forgotten, doubled or left waiting")
def check_faults(context):
    assert not context.faults, context.faults


@then(r"leaders were killed at least (?P<count>\d+) times and calls to minions were lost")
def check_coverage(context, count):
    assert context.counts["kills"] >= int(count), context.counts
    assert context.counts["late calls without effect"] > 0, context.counts


@then(
    r"failure domains lost power (?P<losses>\d+) times and were cut off (?P<cuts>\d+) times, "
    r"and clocks were set (?P<steps>\d+) times"
)
def check_domain_coverage(context, losses, cuts, steps):
    counts = context.counts
    assert counts["domains without power"] >= int(losses), counts
    assert counts["domains cut off"] >= int(cuts), counts
    assert counts["steps of clocks"] >= int(steps), counts
    assert counts["minions reborn under their ids"] > 0, counts


@then(
    r"minions that had begun again were cut off (?P<cuts>\d+) times "
    r"and carried out (?P<calls>\d+) calls to their former lives"
)
def check_recut_coverage(context, cuts, calls):
    assert context.counts["minions cut off"] >= int(cuts), context.counts
    assert context.counts["calls to a former life"] >= int(calls), context.counts
