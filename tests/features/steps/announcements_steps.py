from behave import given, then, when

from tests.standins.fleet import request, wait_until


def find_endpoint_states(daemon, endpoint):
    """Return (state, daemon) of an endpoint for each live member that lists it."""
    return [
        (each["state"].removeprefix("TARGET_STATE_"), member["daemon"])
        for member in daemon.status()["members"]
        if member["state"] in ("MEMBER_STATE_ALIVE", "MEMBER_STATE_SUSPECT")
        for each in member.get("endpoints", [])
        if each["endpoint"] == endpoint
    ]


@given("a member target {endpoint} beside {daemon}")
def step_start_target(context, endpoint, daemon):
    context.member_targets = {
        daemon: context.fleet.start_target("slot-desk", endpoint, daemon)
    }


@when("member target {endpoint} is also started beside {daemon}")
def step_start_second_target(context, endpoint, daemon):
    target = context.fleet.start_target("slot-desk", endpoint, daemon)
    context.member_targets[daemon] = target


@when("member target {endpoint} beside {daemon} is killed")
def step_kill_target(context, endpoint, daemon):
    context.member_targets[daemon].process.kill()


@when("member target {endpoint} stops announcing")
def step_stop_announcing(context, endpoint):
    context.fleet.targets[endpoint].faults(announcing=False)


@when("member target {endpoint} announces again")
def step_resume_announcing(context, endpoint):
    context.fleet.targets[endpoint].faults(announcing=True)


@then(
    "every member table shows {endpoint} as {state} beside {daemon} within "
    "{limit_s:d} s"
)
def step_check_listed(context, endpoint, state, daemon, limit_s):
    def is_reached():
        expected = [(state, daemon)]
        return all(
            find_endpoint_states(each, endpoint) == expected
            for each in context.fleet.daemons.values()
        )

    wait_until(is_reached, f"{endpoint} is {state} beside {daemon}", limit_s)


@then("no member table shows {endpoint} within {limit_s:d} s")
def step_check_not_listed(context, endpoint, limit_s):
    def is_reached():
        return not any(
            find_endpoint_states(each, endpoint)
            for each in context.fleet.daemons.values()
        )

    wait_until(is_reached, f"{endpoint} is gone", limit_s)


@then(
    "the announcement of the first target {endpoint} is refused because it "
    "moved to {daemon}"
)
def step_check_moved(context, endpoint, daemon):
    first = next(iter(context.member_targets))
    address = f"127.0.0.1:{context.fleet.daemons[first].ports['target']}"
    url = f"http://{address}/_laburnumscale/v1/targets/slot-desk/{endpoint}"
    port = context.member_targets[first].port
    body = b'{"address": "127.0.0.1:%d"}' % port
    reply = request("PUT", url, body)
    assert reply.status == 409, reply
    assert f'has moved to daemon "{daemon}"' in reply.json()["error"], reply
