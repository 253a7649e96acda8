"""Embedding of the membership.

Runs one member without a daemon or a log and prints state changes of all members.

    python examples/embed_members.py makati-1 127.0.0.1:7103
    python examples/embed_members.py makati-2 127.0.0.1:7203 --seed 127.0.0.1:7103
"""

import argparse
import asyncio
import signal

from laburnumscale.addresses import parse_ip_port
from laburnumscale.channels import PeerChannels
from laburnumscale.gossip import Gossip
from laburnumscale.members import Members, new_incarnation
from laburnumscale.memberserver import serve_members
from laburnumscale.metrics import Metrics
from laburnumscale_schema import peer_pb2


def print_change(change: peer_pb2.Member) -> None:
    """Print the name and the new state of a member."""
    state = peer_pb2.MemberState.Name(change.state).removeprefix("MEMBER_STATE_")
    print(f"{change.daemon} {state.lower()}", flush=True)


async def run(options: argparse.Namespace) -> None:
    """Run the member until SIGTERM or SIGINT, then leave the membership."""
    address = parse_ip_port("command line", "address", options.address)
    seeds = [parse_ip_port("command line", "seed", seed) for seed in options.seed]
    members = Members(
        peer_pb2.Member(
            daemon=options.name,
            incarnation=new_incarnation(),
            version=1,
            peer_address=str(address),
            data_centre="makati",
            state=peer_pb2.MEMBER_STATE_ALIVE,
        )
    )
    members.on_change(print_change)
    channels = PeerChannels({})
    gossip = Gossip(members, channels, log=None, metrics=Metrics(), seeds=seeds)
    await gossip.join()
    server = await serve_members(address, gossip)
    await gossip.start(address)
    stop_event = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_event.set)
    await stop_event.wait()
    await gossip.leave()
    await server.stop(1.0)
    await channels.close()


def main() -> None:
    """Parse the command line and run the member."""
    parser = argparse.ArgumentParser(description="Runs one member.")
    parser.add_argument("name")
    parser.add_argument("address", help="IP:PORT to listen on, TCP and UDP")
    parser.add_argument(
        "--seed",
        action="append",
        default=[],
        help="IP:PORT of another member",
    )
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
