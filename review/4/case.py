"""An entry of kind `servers` has a field of another type: a list of lists, 900 kB deep; the nodes end by themselves."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins"))
from small_site import Clients, Relay, Replica, Store, configuration, heartbeats, run_case, trouble

VALUE_BYTES = 1048576  # `value_bytes` of the store.
DEPTH = 450000
RESTART_S = 0.5
ZONES = ["bern-a", "bern-b", "olten"]
DEEP = (b'{"service":"booking-app","address":"127.0.0.1:9","zone":"olten","version":1,"slots":' + b"[" * DEPTH + b"]" * DEPTH
        + b',"state":"ready","cold_left_ms":0,"sequence":1}')


async def keep_running(record, relay, ends):
    """Starts a process that ended again after a short delay, as the platform does."""
    while True:
        code = await relay.process.wait()
        ends[relay.name].append((time.monotonic(), code))
        record.add(f"relay {relay.name} ended by itself with {code}")
        await asyncio.sleep(RESTART_S)
        await relay.start()


async def main(record, folder):
    assert len(DEEP) < VALUE_BYTES
    store = Store(record)
    await store.start()
    await store.put("config", "main", configuration())
    replicas = [Replica(record, f"i-{n}", "booking-app", ZONES[n], work_s=0.2) for n in range(3)]
    beats = []
    for replica in replicas:
        await replica.start()
        await store.put("servers", replica.name, replica.entry())
        beats.append(asyncio.ensure_future(heartbeats(store, replica)))
    relays = [Relay(record, folder, f"frontend-{zone}-1", zone, store.address, zones=ZONES) for zone in ZONES]
    ends = {relay.name: [] for relay in relays}
    watchers = []
    try:
        for relay in relays:
            await relay.start()
        for relay in relays:
            if not await relay.ready():
                return 2
        watchers = [asyncio.ensure_future(keep_running(record, relay, ends)) for relay in relays]
        clients = Clients(record)
        callers = [r.caller for r in relays]
        end = time.monotonic() + 20
        flow = asyncio.ensure_future(clients.flow(callers, 30, end, "POST", "/book/1"))
        await asyncio.sleep(4)
        written = time.monotonic()
        if trouble():
            await store.put("servers", "i-of-another-writer", DEEP)
        await flow
        ran = {ident for replica in replicas for _, ident in replica.arrivals}
        cut = [ident for ident, (_, status) in clients.results.items() if status is None and ident in ran]
        after = [status for at, status in clients.results.values() if at > written + 1]
        record.add(f"ends by themselves: { {name: len(found) for name, found in ends.items()} }")
        record.add(f"requests passed on to a sound replica whose connection ended without an answer: {len(cut)}; "
                   f"requests later than 1 s after the entry: {len(after)}, not served {sum(1 for s in after if s != 200)}")
        many = sum(1 for found in ends.values() if len(found) >= 3)
        return 1 if many >= 2 else 0
    finally:
        for task in watchers + beats:
            task.cancel()
        for relay in relays:
            await relay.stop()
        for server in replicas + [store]:
            await server.stop()


run_case(main)
