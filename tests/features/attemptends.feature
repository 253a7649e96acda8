Feature: Analysis of attempts that were ended while their targets ran

  Scenario: Attempts that were ended are counted by cause and time left
    Given logs of d1
      """
      {"event": "daemon started", "daemon": "d1", "incarnation": 1, "timestamp": "2026-12-03T10:00:00Z"}
      {"event": "daemon draining", "daemon": "d1", "timestamp": "2026-12-03T10:00:00.5Z"}
      {"event": "attempt given up", "request_id": "broken", "endpoint": "e2", "left_ms": 2000, "reply_left_ms": -1, "path_broken": true, "copies": 1, "silent": [false], "daemon": "d2", "timestamp": "2026-12-03T10:00:01Z"}
      {"event": "attempt cut at its target", "request_id": "broken", "endpoint": "e2", "entry": "d1", "sequence": 1, "admitted_ms": 1000, "time_left_ms": 2990, "has_replied": false, "daemon": "d2", "timestamp": "2026-12-03T10:00:01.002Z"}
      {"event": "call ended", "request_id": "broken", "service": "slot-desk", "outcome": "unknown", "reason": "deadline", "status": null, "elapsed_ms": 1400, "left_ms": 1600, "stop_reason": "queues full", "attempts": [{"endpoint": "e2", "daemon": "d2", "result": "unknown deadline", "elapsed_ms": 1000}, {"endpoint": "e3", "daemon": "d3", "result": "not_run overloaded", "elapsed_ms": 2}], "stands_for": 1, "daemon": "d1", "timestamp": "2026-12-03T10:00:01.4Z"}
      {"event": "attempt given up", "request_id": "silent", "endpoint": "e2", "left_ms": 100, "reply_left_ms": -1, "path_broken": false, "copies": 2, "silent": [true, false], "daemon": "d2", "timestamp": "2026-12-03T10:00:02Z"}
      {"event": "attempt cut at its target", "request_id": "silent", "endpoint": "e2", "entry": "d3", "sequence": 2, "admitted_ms": 2890, "time_left_ms": 2990, "has_replied": false, "daemon": "d2", "timestamp": "2026-12-03T10:00:02.002Z"}
      {"event": "call ended", "request_id": "silent", "service": "slot-desk", "outcome": "answered", "reason": "none", "status": 200, "elapsed_ms": 2950, "left_ms": 50, "stop_reason": "", "attempts": [{"endpoint": "e2", "daemon": "d2", "result": "unknown deadline", "elapsed_ms": 2900}, {"endpoint": "e3", "daemon": "d3", "result": "answered none", "elapsed_ms": 50}], "stands_for": 4, "daemon": "d3", "timestamp": "2026-12-03T10:00:02.050Z"}
      {"event": "attempt cut at its target", "request_id": "lost", "endpoint": "e2", "entry": "d3", "sequence": 3, "admitted_ms": 500, "time_left_ms": 2990, "has_replied": false, "daemon": "d2", "timestamp": "2026-12-03T10:00:03Z"}
      {"event": "call ended", "request_id": "lost", "service": "slot-desk", "outcome": "unknown", "reason": "connection_lost", "status": null, "elapsed_ms": 510, "left_ms": 2490, "stop_reason": "may have run", "attempts": [{"endpoint": "e2", "daemon": "d2", "result": "unknown connection_lost", "elapsed_ms": 508}], "stands_for": 1, "daemon": "d3", "timestamp": "2026-12-03T10:00:03.010Z"}
      {"event": "attempt given up", "request_id": "raced", "endpoint": "e2", "left_ms": 1000, "reply_left_ms": -500, "path_broken": true, "copies": 1, "silent": [false], "daemon": "d2", "timestamp": "2026-12-03T10:00:04Z"}
      {"event": "attempt cut at its target", "request_id": "raced", "endpoint": "e2", "entry": "d3", "sequence": 4, "admitted_ms": 2000, "time_left_ms": 2990, "has_replied": false, "daemon": "d2", "timestamp": "2026-12-03T10:00:04.002Z"}
      {"event": "call ended", "request_id": "raced", "service": "slot-desk", "outcome": "answered", "reason": "none", "status": 200, "elapsed_ms": 2000, "left_ms": 1000, "stop_reason": "", "attempts": [{"endpoint": "e3", "daemon": "d3", "result": "answered none", "elapsed_ms": 500}, {"endpoint": "e2", "daemon": "d2", "result": "unknown deadline", "elapsed_ms": 2000}], "stands_for": 1, "daemon": "d3", "timestamp": "2026-12-03T10:00:04Z"}
      {"event": "attempt given up", "request_id": "second", "endpoint": "e2", "left_ms": 1200, "reply_left_ms": 1200, "path_broken": false, "copies": 1, "silent": [false], "daemon": "d2", "timestamp": "2026-12-03T10:00:04.5Z"}
      {"event": "attempt cut at its target", "request_id": "second", "endpoint": "e2", "entry": "d3", "sequence": 6, "admitted_ms": 200, "time_left_ms": 1390, "has_replied": false, "daemon": "d2", "timestamp": "2026-12-03T10:00:04.502Z"}
      {"event": "call ended", "request_id": "second", "service": "slot-desk", "outcome": "answered", "reason": "none", "status": 200, "elapsed_ms": 1800, "left_ms": 1200, "stop_reason": "", "attempts": [{"endpoint": "e3", "daemon": "d3", "result": "answered none", "elapsed_ms": 1800}], "stands_for": 1, "daemon": "d3", "timestamp": "2026-12-03T10:00:04.5Z"}
      {"event": "attempt given up", "request_id": "left", "endpoint": "e2", "left_ms": 1500, "reply_left_ms": 500, "path_broken": false, "copies": 1, "silent": [false], "daemon": "d2", "timestamp": "2026-12-03T10:00:05Z"}
      {"event": "attempt cut at its target", "request_id": "left", "endpoint": "e2", "entry": "d3", "sequence": 5, "admitted_ms": 1500, "time_left_ms": 2990, "has_replied": false, "daemon": "d2", "timestamp": "2026-12-03T10:00:05.002Z"}
      {"event": "attempt given up", "request_id": "gone", "cause": "guard ended", "endpoint": "e2", "left_ms": 1500, "reply_left_ms": 500, "path_broken": true, "copies": 2, "has_replied": false, "daemon": "d2", "timestamp": "2026-12-03T10:00:05.5Z"}
      {"event": "call ended", "request_id": "gone", "service": "slot-desk", "outcome": "answered", "reason": "none", "status": 200, "elapsed_ms": 1800, "left_ms": 1200, "stop_reason": "", "attempts": [{"endpoint": "e2", "daemon": "d2", "result": "unknown connection_lost", "elapsed_ms": 1500}, {"endpoint": "e3", "daemon": "d3", "result": "answered none", "elapsed_ms": 300}], "stands_for": 1, "daemon": "d3", "timestamp": "2026-12-03T10:00:05.8Z"}
      {"event": "attempt cut at its target", "request_id": "drained", "endpoint": "e2", "entry": "d1", "sequence": 7, "admitted_ms": 2000, "time_left_ms": 2990, "has_replied": false, "daemon": "d2", "timestamp": "2026-12-03T10:00:05.9Z"}
      {"event": "call ended", "request_id": "drained", "service": "slot-desk", "outcome": "unknown", "reason": "draining", "status": null, "elapsed_ms": 2450, "left_ms": 550, "stop_reason": "", "attempts": [{"endpoint": "e2", "daemon": "d2", "result": "not_run in_doubt", "elapsed_ms": 2}], "stands_for": 1, "daemon": "d1", "timestamp": "2026-12-03T10:00:05.9Z"}
      {"event": "attempt given up", "request_id": "late", "endpoint": "e2", "left_ms": 0, "reply_left_ms": -1500, "path_broken": true, "copies": 1, "silent": [false], "daemon": "d2", "timestamp": "2026-12-03T10:00:06Z"}
      """
    When the attempt ends are computed from the logs of d1
    Then the attempt end tables contain
      """
      | path broken | 1 | 0 | 0 | 1 |
      | silent connection | 0 | 1 | 0 | 0 |
      | connection lost | 1 | 0 | 0 | 0 |
      | replaced by another answer | 2 | 0 | 0 | 0 |
      | caller left | 1 | 0 | 0 | 0 |
      | end of the drain | 1 | 0 | 0 | 1 |
      | guard ended | 0 | 0 | 1 | 0 |
      | deadline | 0 | 0 | 1 | 0 |
      Ended while the target ran, without an answer in their place: 4 (1 of their calls were answered later)
      Log lines that are missing: 3
      | deadline | queues full | draining | 1 |
      | connection_lost | may have run | serving | 1 |
      """
    And the list of attempt ends contains
      """
      1.000 broken at e2 of d1 (draining): path broken, 2000 of 3000 ms left, ran, call unknown deadline
      """

  Scenario: Doubts about paths are counted by whether the peer was up
    Given logs of d1
      """
      {"event": "daemon started", "daemon": "d2", "incarnation": 1, "peer_address": "10.0.0.2:7000", "timestamp": "2026-12-03T10:00:00Z"}
      {"event": "daemon accepts calls", "daemon": "d2", "has_settings": true, "timestamp": "2026-12-03T10:00:00.2Z"}
      {"event": "path broken", "daemon": "d1", "peer_address": "10.0.0.2:7000", "timestamp": "2026-12-03T10:00:00.5Z"}
      {"event": "silent connection replaced", "daemon": "d1", "peer_address": "10.0.0.3:7000", "timestamp": "2026-12-03T10:00:00.6Z"}
      {"event": "settings in force", "daemon": "d2", "revision": 2, "timestamp": "2026-12-03T10:00:01.4Z"}
      {"event": "path broken", "daemon": "d1", "peer_address": "10.0.0.2:7000", "timestamp": "2026-12-03T10:00:03Z"}
      {"event": "daemon stopped", "daemon": "d2", "timestamp": "2026-12-03T10:00:05Z"}
      {"event": "silent connection replaced", "daemon": "d1", "peer_address": "10.0.0.2:7000", "timestamp": "2026-12-03T10:00:05.1Z"}
      {"event": "daemon started", "daemon": "d2", "incarnation": 2, "peer_address": "10.0.0.2:7000", "timestamp": "2026-12-03T10:00:05.2Z"}
      """
    When the attempt ends are computed from the logs of d1
    Then the attempt end tables contain
      """
      | path broken | peer up | 1 |
      | path broken | peer not up | 1 |
      | silent connection replaced | peer not known | 1 |
      | silent connection replaced | peer not up | 1 |
      """
