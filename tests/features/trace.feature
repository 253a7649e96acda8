Feature: Tracing a request in the daemons' logs

  Background:
    Given logs of d1
      """
      {"event": "settings in force", "daemon": "d1", "revision": 7, "timestamp": "2026-12-03T10:00:00Z"}
      some other program's line {with braces}
      12.3400 host-1 {"request_id": "a1", "service": "slot-desk", "idempotent": true, "outcome": "answered", "reason": "none", "status": 200, "elapsed_ms": 342, "left_ms": 1567, "attempts": [{"endpoint": "e1", "daemon": "d1", "result": "unknown connection_lost", "elapsed_ms": 2}, {"endpoint": "e2", "daemon": "d2", "result": "answered none", "elapsed_ms": 340}], "revision": 7, "stands_for": 3, "event": "call ended", "daemon": "d1", "level": "info", "timestamp": "2026-12-03T10:00:09.342Z"}
      {"request_id": "a2", "reason": "no_route", "detail": "/x/", "revision": 7, "event": "request refused", "daemon": "d1", "timestamp": "2026-12-03T10:00:10Z"}
      {"event": "call ended", "daemon": "d1", "timest
      """
    And logs of d2
      """
      {"service": "slot-desk", "endpoint": "e2", "event": "target ejected", "cause": "slow", "daemon": "d2", "timestamp": "2026-12-03T10:00:07Z"}
      {"service": "slot-desk", "endpoint": "e2", "reason": "trial call served", "event": "target returned", "daemon": "d2", "timestamp": "2026-12-03T10:00:08Z"}
      {"service": "slot-desk", "endpoint": "e2", "event": "target ejected", "cause": "slow", "daemon": "d2", "timestamp": "2026-12-03T10:00:12Z"}
      {"event": "log lines dropped", "count": 4, "daemon": "d2", "timestamp": "2026-12-03T10:00:13Z"}
      """

  Scenario: A trace lists the attempts of a call and the state of its targets
    When request a1 is traced in the logs of d1, d2
    Then the trace contains in this order
      """
      d1: settings in force (revision=7)
      d2: target returned (service=slot-desk, endpoint=e2, reason=trial call served)
      d1 accepted the request for slot-desk (may be repeated, settings revision 7)
      e1 at d1: unknown connection_lost after 2 ms
      e2 at d2: answered none after 340 ms
      ended: answered none with status 200, 1567 ms left
      this sampled line represents 3 answered calls
      incomplete: d2 dropped 4 log lines
      """

  Scenario: A trace of a request without an answer shows who ended its attempt, and why no other followed
    Given logs of d3
      """
      {"request_id": "a3", "cause": "deadline", "endpoint": "e2", "guard": "d2", "daemon": "d3", "left_ms": 0, "path_broken": true, "event": "attempt given up", "timestamp": "2026-12-03T10:00:10.998Z"}
      {"request_id": "a3", "service": "slot-desk", "idempotent": true, "outcome": "unknown", "reason": "deadline", "status": null, "elapsed_ms": 1000, "left_ms": 0, "stop_reason": "attempt limit", "attempts": [{"endpoint": "e2", "daemon": "d2", "result": "unknown deadline", "elapsed_ms": 998}], "revision": 7, "event": "call ended", "daemon": "d3", "timestamp": "2026-12-03T10:00:11Z"}
      """
    When request a3 is traced in the logs of d3
    Then the trace contains in this order
      """
      d3 accepted the request for slot-desk (may be repeated, settings revision 7)
      d3: attempt given up (cause=deadline, endpoint=e2, guard=d2, left_ms=0, path_broken=True)
      ended: unknown deadline, 0 ms left (no further attempt: attempt limit)
      """

  Scenario: A trace names the daemons whose logs are missing
    When request a1 is traced in the logs of d1
    Then the trace contains in this order
      """
      incomplete: no log was given for d2, which guards an attempted target
      """

  Scenario: A trace of a refused request shows the reason
    When request a2 is traced in the logs of d1
    Then the trace contains in this order
      """
      d1: request refused (reason=no_route, detail=/x/, revision=7)
      """

  Scenario: The trace of a request that is in no log fails
    When request a3 is traced in the logs of d1, d2
    Then the trace fails with status 2 and the error contains "not found in any of 7 log lines"

  Scenario: A trace as JSON
    When request a2 is traced in the logs of d1 as JSON
    Then the trace is JSON whose lines are those of request a2
