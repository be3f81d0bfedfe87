"""Six in ten endpoints are replaced within 7 s, and one class keeps to its zone: are the drains kept?"""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
import rules
import standin

ZONES = ["hall-a", "hall-b", "hall-c", "hall-d"]
REPLACE_AT, STEP = 20.0, 7.0 / 14
LOAD = 0.6
LATE = 0.4
SETTINGS = {
    "balancers": 1, "me": 0, "my_zone": 0, "family": "control", "zones": ZONES, "models": ["type-a", "type-b"],
    "classes": [
        {"name": "tax-check", "on_time_ms": 2000.0, "deadline_ms": 6000.0, "worth": 1.0, "late_worth": 0.1,
         "idempotency": "pure", "group": "all", "repeat_window_ms": 5000.0},
        {"name": "post-entry", "on_time_ms": 1200.0, "deadline_ms": 4000.0, "worth": 2.0, "late_worth": 0.1,
         "idempotency": "token", "group": "all", "repeat_window_ms": 8000.0}],
    "registry_mode": "pushed", "round_ms": 4.0, "value_by": "request", "weight_source": "rough",
    "report": {"fields": ["busy", "q"], "source": "piggyback"},
    "limits": {"probes": True, "connect_timeout_ms": 300.0, "conn_idle_ms": 15000.0, "may_tell": False,
               "streams_per_conn": 32, "cpu_us_per_s": 650000},
    "deductions": {"cross_zone": 0.12, "probe": 0.02},
    "rules": {"start_capacity": 0.15, "warm_up_ms": 17000.0, "fall_multiple": 3.0, "stop_sending_within_ms": 3000.0,
              "tip_after_ms": 1500.0, "must_ask_in_ms": 10000.0},
    "domain": {"admit": "rps", "key_ranges": 0, "proxy_count": 16, "homed_by_zone": True, "base_mode": 1,
               "class_own_zone": [False, True], "writers": [False, True], "blackhole_ms": 6800.0,
               "choice": "lottery",
               "report_every_ms": 1000.0, "lines_per_s": 11400.0, "backlog": 11400.0, "per_message": 6.0,
               "standing": 12, "ejects": 0, "ingest_rate": 400.0, "late_ms": 400.0, "push_delay_max_ms": 460.0,
               "per_try": 1.0, "pushes_allowed": 12, "messages_over_ms": 10000.0, "single_writer": False},
}


def build(record, trouble):
    world = standin.World(SETTINGS, record, late=LATE)
    world.trouble = trouble
    for index in range(24):
        world.add_endpoint("s-%02d" % index, ZONES[index % len(ZONES)], SETTINGS["models"][index % 2], 12.0)
    for node in range(16):
        rate = LOAD * 24 * 12.0 / 16
        world.add_proxy(node, ZONES[node % len(ZONES)], {"tax-check": rate * 0.58, "post-entry": rate * 0.42})
    rules.watch_drains(world)
    return world


async def scenario(world):
    await asyncio.sleep(REPLACE_AT)
    if not world.trouble:
        world.record("no disruption")
        return
    zones = [[one for one in world.endpoints.values() if one.zone == zone] for zone in ZONES]
    order = [one for pair in zip(zones[0], zones[1]) for one in pair] + zones[2][:2]
    world.record("DISRUPTION: %d of 24 endpoints are replaced, one each %.2f s" % (len(order), STEP))
    loop = asyncio.get_running_loop()

    async def replace(old, name):
        world.list_change(old.name, health="leaving")
        await asyncio.sleep(1.5)
        world.add_endpoint(name, old.zone, old.kind, old.capacity)
        new = world.endpoints[name]
        new.port, new.started, new.born_ms = old.port, world.now(), standin.unix_ms()
        world.list_change(name)
        await asyncio.sleep(4.5)
        old.mode = "down"
        world.list_change(old.name, health="left")

    for number, old in enumerate(order, 24):
        loop.create_task(replace(old, "s-%02d" % number))
        await asyncio.sleep(STEP)


sys.exit(standin.main(HERE, build, scenario, 45.0))
