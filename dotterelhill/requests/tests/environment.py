import asyncio
import logging

from dotterelhill.requests.tests.harness import WaitedTimeLoop, World


def before_all(context):
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    logging.getLogger("dotterelhill").setLevel(logging.WARNING)


def before_scenario(context, scenario):
    is_waited_time = "waited-time" in scenario.effective_tags
    context.loop = WaitedTimeLoop() if is_waited_time else asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.run = context.loop.run_until_complete
    context.world = World()


def after_scenario(context, scenario):
    if "process" in context and context.process.returncode is None:
        context.process.kill()
    context.run(asyncio.wait_for(context.world.close(), 10))
    for task in asyncio.all_tasks(context.loop):
        task.cancel()
    context.run(asyncio.sleep(0))
    context.loop.close()
