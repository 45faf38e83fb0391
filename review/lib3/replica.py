"""Runs one replica as a process; prints its address."""

import argparse
import asyncio
import pathlib
import time

import standins


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--id', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--events', type=int, default=40)
    parser.add_argument('--gap-s', type=float, default=0.1)
    parser.add_argument('--unframed', action='store_true')
    parser.add_argument('--run-log', type=pathlib.Path, required=True)
    options = parser.parse_args()

    def record(*words):
        with options.run_log.open('a') as log:
            print(time.monotonic(), *words, file=log)

    replica = standins.Replica(options.id, options.service, record)
    replica.events, replica.gap_s = options.events, options.gap_s
    replica.is_framed = not options.unframed
    await replica.start()
    print(replica.own_address, flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
