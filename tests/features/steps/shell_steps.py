import asyncio
import json
import os
import signal
import subprocess
import sys
import threading

import grpc
from behave import given, then, when

from laburnumscale.addresses import Address
from laburnumscale.errors import AddressInUse
from laburnumscale.peers import serve_peers
from laburnumscale_schema import peer_pb2, peer_pb2_grpc
from tests.standins.fleet import request, wait_until

TIMEOUT_S = 60


@given("this daemon settings file")
def step_write_settings_file(context):
    context.daemon_settings_path = context.fleet.directory / "shell.jsonc"
    context.daemon_settings_path.write_text(context.text)


def run_module(context, *arguments):
    command = [sys.executable, "-m", *arguments]
    result = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )
    context.process_exit_code = result.returncode
    context.process_output = result.stdout + result.stderr


@when('the command "{command}" is run')
def step_run_command(context, command):
    path = str(getattr(context, "daemon_settings_path", ""))
    run_module(context, *command.replace("FILE", path).split())


@then("the process exits with code {code:d}")
def step_check_exit_code(context, code):
    found = (context.process_exit_code, context.process_output)
    assert context.process_exit_code == code, found


@then('the process has printed "{text}"')
def step_check_output(context, text):
    assert text in context.process_output, context.process_output
    assert "Traceback" not in context.process_output, context.process_output


@when("a second daemon is started with the {role} address of {daemon}")
def step_start_second_daemon(context, role, daemon):
    used_port = context.fleet.daemons[daemon].ports[role]
    address = {f"{role}_address": f"127.0.0.1:{used_port}"}
    second_daemon = context.fleet.start_daemon("second", "makati", **address)
    context.process_exit_code = second_daemon.process.wait(TIMEOUT_S)
    context.process_output = (context.fleet.directory / "second.log").read_text()


@given("each call to {endpoint} takes {latency_ms:d} ms")
def step_set_latency(context, endpoint, latency_ms):
    context.fleet.targets[endpoint].faults(latency_ms=latency_ms)


def start_call(context, daemon):
    """Start a call and wait until a target runs it.

    :returns: the thread of the call and the list that receives its response.
    """
    responses = []
    ledger_sizes = [len(target.ledger()) for target in context.fleet.targets.values()]
    url = f"{context.fleet.daemons[daemon].callers}/proof-vault/hold"
    thread = threading.Thread(
        target=lambda: responses.append(request("POST", url, b"{}")), daemon=True
    )
    thread.start()
    wait_until(
        lambda: (
            ledger_sizes != [len(t.ledger()) for t in context.fleet.targets.values()]
        ),
        "a target runs the call",
    )
    return thread, responses


@when("{daemon} receives SIGTERM while it forwards a call")
def step_send_sigterm(context, daemon):
    thread, context.call_responses = start_call(context, daemon)
    process = context.fleet.daemons[daemon].process
    context.process_exit_code = context.fleet.stop(process)
    context.process_output = ""
    thread.join(TIMEOUT_S)


@then("the call in flight is answered with status {status:d}")
def step_check_call_status(context, status):
    assert [r.status for r in context.call_responses] == [status], (
        context.call_responses
    )


@when("{daemon} receives SIGTERM twice while it forwards a call")
def step_send_sigterm_twice(context, daemon):
    start_call(context, daemon)
    daemon = context.fleet.daemons[daemon]
    daemon.process.send_signal(signal.SIGTERM)
    log = context.fleet.directory / f"{daemon.name}.log"
    wait_until(
        lambda: "daemon draining" in log.read_text(),
        "the daemon logs that it is draining",
    )
    context.process_exit_code = context.fleet.stop(daemon.process)


@when("a daemon with an exit handler is stopped by SIGTERM")
def step_stop_with_exit_handler(context):
    fleet = context.fleet
    fleet.stop(fleet.daemons["d1"].process)
    code = (
        "import atexit; atexit.register(print, 'exit handler ran')\n"
        "from laburnumscaled.cli import main; main()"
    )
    process = fleet.start("again", "-c", code, str(fleet.directory / "d1.jsonc"))
    log = fleet.directory / "again.log"
    wait_until(lambda: "daemon accepts calls" in log.read_text(), "the daemon started")
    context.process_exit_code = fleet.stop(process)
    context.process_output = log.read_text()


@then('the last line that the process has printed contains "{text}"')
def step_check_last_line(context, text):
    last_line = context.process_output.splitlines()[-1]
    assert text in last_line, context.process_output


class _SlowSettler:
    """A settler that takes a while to answer a query."""

    def __init__(self):
        self.is_asked = asyncio.Event()

    async def handle_settle_request(self, request):
        self.is_asked.set()
        await asyncio.sleep(0.05)
        return peer_pb2.SettleReply(verdict=peer_pb2.SETTLE_VERDICT_RUNNING)


@given("a daemon whose peer server is answering a query")
def step_choose_peer_address(context):
    context.peer_address = Address("127.0.0.1", context.fleet.free_port())


@when("its next address is in use")
def step_fail_start(context):
    async def start(settler):
        async with serve_peers(
            context.peer_address, None, settler, None, None, None, None
        ):
            await settler.is_asked.wait()
            raise AddressInUse("caller_address", "127.0.0.1:1", "taken")

    async def query(channel):
        stub = peer_pb2_grpc.GuardStub(channel)
        return await stub.Settle(peer_pb2.SettleRequest(), wait_for_ready=True)

    async def run():
        async with grpc.aio.insecure_channel(str(context.peer_address)) as channel:
            query_task = asyncio.create_task(query(channel))
            try:
                await start(_SlowSettler())
            except AddressInUse as error:
                context.start_error = error
            context.peer_reply = await query_task

    asyncio.run(run())


@then("the start fails with the address in use")
def step_check_start_failed(context):
    assert isinstance(context.start_error, AddressInUse)


@then("the peer has received the reply of its query")
def step_check_peer_reply(context):
    running = peer_pb2.SETTLE_VERDICT_RUNNING
    assert context.peer_reply.verdict == running, context.peer_reply


@when("the command of the daemon is imported")
def step_import_command(context):
    code = (
        "import gc, json, ssl\n"
        "from laburnumscaled.startup import load_command\n"
        "def count(): return sum(each['collections'] for each in gc.get_stats())\n"
        "before = count()\n"
        "load_command()\n"
        "after = count()\n"
        "stores = ssl.create_default_context().cert_store_stats()\n"
        "print(json.dumps([after - before, gc.isenabled(), stores['x509']]))"
    )
    command = [sys.executable, "-c", code]
    names = os.environ.keys() - {"SSL_CERT_FILE", "SSL_CERT_DIR"}
    environment = {name: os.environ[name] for name in names}
    output = subprocess.run(
        command, check=True, capture_output=True, env=environment
    ).stdout
    context.collections, context.is_enabled, context.certificates = json.loads(output)


@then("no garbage collection ran meanwhile, and they run again afterwards")
def step_check_collections(context):
    assert context.collections == 0, context.collections
    assert context.is_enabled


@then("no certificates were read")
def step_check_certificates(context):
    assert context.certificates == 0, context.certificates
