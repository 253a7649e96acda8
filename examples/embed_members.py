"""Membership in a program of your own.

Runs one member without daemon or log, and prints what becomes of the others.

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


def print_news(news: peer_pb2.Member) -> None:
    """Print a change of the membership."""
    state = peer_pb2.MemberState.Name(news.state).removeprefix("MEMBER_STATE_")
    print(f"{news.daemon} {state.lower()}", flush=True)


async def run(options: argparse.Namespace) -> None:
    """Take part until SIGTERM or SIGINT, then leave."""
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
    members.on_change(print_news)
    channels = PeerChannels({})
    gossip = Gossip(members, channels, log=None, metrics=Metrics(), seeds=seeds)
    await gossip.join()
    server = await serve_members(address, gossip)
    await gossip.start(address)
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    await stopping.wait()
    await gossip.leave()
    await server.stop(1.0)
    await channels.close()


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description="Runs one member.")
    parser.add_argument("name")
    parser.add_argument("address", help="IP:PORT, TCP and UDP")
    parser.add_argument("--seed", action="append", default=[], help="IP:PORT")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
