from __future__ import annotations


def after_scenario(context, scenario):
    world = getattr(context, "world", None)
    if world is not None:
        world.close()
