Feature: Failing targets get no work, and the floor holds

  Scenario: A target that hangs while its health check answers
    Given a fleet of 3 daemons in makati, pasig
    And health targets e1, e2, e3, e4, e5, e6 of slot-desk spread over the daemons
    And the health fleet is ready with {"floor_percent": 50, "ejection_ms": 60000}
    When health traffic runs until every target has had 10 calls
    And health target e1 fails with {"hang": true}
    Then health target e1 gets no work from 1 s to 4 s after that
    And the guard of e1 has ejected it 1 time
    And the guard of e1 refuses a call that is no floor traffic
    And the guard of e1 runs floor traffic again after {"hang": false}

  Scenario: The floor holds while all targets fail, some leave and one daemon is cut off
    Given links between daemons d1, d2, d3
    And a fleet of 3 daemons in makati, pasig
    And health targets e1, e2, e3, e4, e5, e6 of slot-desk spread over the daemons
    And the health fleet is ready with {"floor_percent": 60, "ejection_ms": 60000}
    When health traffic runs until every target has had 10 calls
    And all health targets fail with {"error_percent": 100}
    Then every daemon leaves out some targets and keeps the floor of 60 percent
    When target e1 is drained at d1
    And target e2 is drained at d2
    Then every daemon keeps the floor of 60 percent for 2 s
    When the way from d1 to d3 is cut
    And the way from d2 to d3 is cut
    And the way from d3 to d1 is cut
    And the way from d3 to d2 is cut
    Then every daemon keeps the floor of 60 percent for 3 s

  Scenario: A healthy target behind a broken path
    Given links between daemons d1, d2, d3
    And a fleet of 3 daemons in makati
    And health targets e1, e2, e3 of slot-desk spread over the daemons
    And the health fleet is ready with {"floor_percent": 50}
    When health traffic runs until every target has had 10 calls
    And the way from d1 to d2 is cut
    Then daemon d1 leaves out e2
    And daemon d3 keeps e2 in service
    And the guard of e2 has ejected it 0 times
    When the ways between d1 and d2 are healed
    Then daemon d1 takes e2 in again

  Scenario: Connections between daemons that go silent are replaced
    Given links between daemons d1, d2
    And a fleet of 2 daemons in makati
    And health targets e1, e2 of slot-desk spread over the daemons
    And the health fleet is ready with {"floor_percent": 50}
    When health traffic runs until every target has had 10 calls
    And the connections from d1 to d2 go silent
    Then daemon d1 leaves out e2
    And daemon d1 takes e2 in again

  Scenario: A target that recovers gets work again
    Given a fleet of 3 daemons in makati, pasig
    And health targets e1, e2, e3, e4 of slot-desk spread over the daemons
    And the health fleet is ready with {"floor_percent": 50, "ejection_ms": 2000}
    When health traffic runs until every target has had 10 calls
    And health target e1 fails with {"hang": true}
    Then every daemon leaves out e1
    When health target e1 fails with {"hang": false}
    Then health target e1 gets work within 5 s

  Scenario: A flapping target is not taken in and out at each turn
    Given a fleet of 2 daemons in makati, pasig
    And health targets e1, e2, e3, e4 of slot-desk spread over the daemons
    And the health fleet is ready with {"floor_percent": 50, "ejection_ms": 500}
    When health traffic runs until every target has had 10 calls
    And health target e1 fails with {"hang": true, "flap_period_s": 2.0}
    Then the guard of e1 ejects it at most 5 times in 16 s

  Scenario: Healthy targets stay in service
    Given a fleet of 2 daemons in willingdon, kakkanad
    And health targets e1, e2, e3, e4, e5, e6 of test-archive spread over the daemons
    And the health fleet is ready with {"floor_percent": 80, "eject_after": 6}
    When health traffic runs until every target has had 60 calls
    Then no guard has ejected a target

  Scenario: Targets that are all slow at once stay in service
    Given a fleet of 2 daemons in makati, pasig
    And health targets e1, e2, e3, e4, e5, e6 of slot-desk spread over the daemons
    And the health fleet is ready with {"floor_percent": 50, "ejection_ms": 60000}
    When health traffic runs until every target has had 40 calls
    And all health targets fail with {"latency_ms": 250}
    And every health target has had 10 calls more
    Then every daemon has all health targets in service

  Scenario: A call that cannot end before its deadline is refused at once
    Given a fleet of 1 daemons in makati
    And a health target e1 of slot-desk with 1 slot and 200 ms of work
    And the health fleet is ready with {"idempotent": {"methods": []}}
    When 12 health calls with 700 ms each are sent at once, after 3 single ones
    Then some are answered, the others are refused with Retry-After
    And health target e1 has run only the answered ones
