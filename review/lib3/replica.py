"""Runs one replica as a process; prints its address."""

import argparse
import asyncio

import standins


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--id', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--events', type=int, default=40)
    parser.add_argument('--gap-s', type=float, default=0.1)
    parser.add_argument('--unframed', action='store_true')
    options = parser.parse_args()
    replica = standins.Replica(options.id, options.service, lambda *a: None)
    replica.events, replica.gap_s = options.events, options.gap_s
    replica.is_framed = not options.unframed
    await replica.start()
    print(replica.own_address, flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
