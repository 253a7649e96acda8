Feature: What targets name in their responses binds all daemons together

  Background:
    Given a platform fleet of 3 daemons in makati
    And endpoints e1 of slot-desk beside d1
    And endpoints e2 of slot-desk beside d2
    And endpoints e3 of slot-desk beside d3
    And the operator has written configuration version 3
    And the platform fleet is ready

  Scenario: The calls of all daemons together stay within the limit that a target names
    When clients of all daemons send lookups, 30 a second
    And e1 names a limit of 1 a second for 10 s
    Then e1 has got no more than 11 requests in any 4 s, from 3 s after naming its limit
    And it has got at least 5 requests meanwhile
    And all lookups were served

  Scenario: A guard that restarts keeps to the limit that other daemons were told
    When clients of d2 and d3 send lookups, 30 a second
    And e1 names a limit of 0.5 a second for 4 s
    And platform daemon d1 is killed and started again
    And e1 names a limit of 0.5 a second for 6 s
    Then e1 has got no more than 8 requests in any 4 s, from 3 s after naming its limit

  Scenario: Calls beyond the limits of all targets are refused at once
    When e1, e2 and e3 name a limit of 2 a second
    And clients of all daemons send lookups, 30 a second
    And 8 s pass
    Then each endpoint has got no more than 17 requests in any 4 s
    And the endpoints have served at least 30 lookups together
    And half of the refusals came within 125 ms, and all of them name a time to retry

  Scenario: A limit ends when responses name it no more
    When clients of all daemons send lookups, 30 a second
    And e1 names a limit of 1 a second for 3 s
    And e1 names no limit any more
    And endpoint e2 reports the state draining
    And endpoint e3 reports the state draining
    Then within 10 s e1 gets 10 requests in 2 s

  Scenario: A target that says in its responses that it leaves gets no more requests
    When clients beside d2 send lookups, 30 a second
    And e1 says in its responses that it leaves
    And 2 s pass
    Then e1 gets no request during 2 s
    When platform daemon d1 is killed and started again
    Then e1 gets no request during 4 s
    And all lookups were served
