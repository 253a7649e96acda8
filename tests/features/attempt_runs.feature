Feature: The run of an attempt does not depend on the connections of its entry

  Scenario: No run is cut whose entry lives, whose caller waits and whose deadline has not passed
    Given 400 random orders of repeats, lost and silent connections, late replies and queries
    Then no run was cut before the entry or its guard ended the attempt
    And no order ran the attempt twice
    And each caller that waited got the answer of the target

  Scenario: A caller that leaves ends the run, whatever happened to its connections
    Given 400 random orders in which the caller leaves
    Then each run ended within 500 ms after the guard was told
    And no order ran the attempt twice

  Scenario Outline: No answer is lost in a drain, and a restart runs nothing twice: <process>, <call>
    Given 50 random orders of repeats, lost and silent connections and queries of <call> while <process>
    Then no run was cut before the entry or its guard ended the attempt
    And no order ran the attempt twice
    And each caller got a true outcome at once, and the answer unless its guard was killed

    Examples:
      | process                   | call     |
      | the guard drains          | a hold   |
      | the guard drains          | a lookup |
      | the guard starts again    | a hold   |
      | the guard starts again    | a lookup |
      | the entry drains          | a hold   |
      | the entry drains          | a lookup |

  Scenario: A download continues on the connection that its entry opened last
    Given a run with 40 replies of 64 kB whose first stream takes only 3 of them
    When another stream attaches before any reply was dropped
    Then the other stream gets all 40 replies
    And the run kept at most 1400000 bytes of them

  Scenario: A copy whose replies the entry does not read holds up no download
    Given a run with 40 replies of 64 kB and a repeat that delivers them later
    When the caller reads the replies of the copy that delivers first
    Then the caller gets all 40 replies

  Scenario: A run whose entry has left the membership ends
    Given a run without a stream whose entry has left the membership
    Then the run is cut within 2500 ms

  Scenario: A run whose entry is only suspected goes on
    Given a run without a stream whose entry is only suspected
    Then the run is not cut within 2500 ms

  Scenario: A new process of an entry ends the runs of its former process
    Given a run of an entry that starts again
    When an attempt of its new process arrives
    Then the run is cut within 500 ms

  Scenario: The low-water mark of an entry ends the runs below it
    Given a run of an entry
    When an attempt arrives whose low-water mark is higher
    Then the run is cut within 500 ms

  Scenario Outline: An end of attempts that the guard does not run changes nothing: <attempt>
    Given a run of an entry
    When the guard is told that <attempt> has ended
    Then the run is not cut within 300 ms

    Examples:
      | attempt                                 |
      | an attempt that never arrived           |
      | an attempt at another process of it     |
      | an attempt of a former process of entry |

  Scenario: An attempt that arrives after its end never runs
    Given a guard that is told of the end of an attempt
    When the attempt arrives
    Then it is refused and does not run

  Scenario: An attempt of an older daemon ends with its stream
    Given a run of an entry that ends attempts by their streams
    When its stream ends
    Then the run is cut within 500 ms

  Scenario Outline: A guard is told of ended attempts until it replies: <replies>
    Given a guard whose replies to the ends of attempts are <replies>
    When an entry ends 3 attempts at it
    Then it was told <times> times, at last of no attempt twice
    And the path to it was checked <checks> times
    And nothing is left to be told
    And it was told within 500 ms

    Examples:
      | replies            | times | checks |
      | ok                 | 1     | 0      |
      | lost ok            | 2     | 0      |
      | lost lost ok       | 3     | 1      |
      | unimplemented      | 1     | 0      |

  Scenario: An entry tells a guard of many ended attempts in few messages
    Given a guard whose replies to the ends of attempts are ok ok ok
    When an entry ends 600 attempts at it
    Then it was told 3 times, at last of no attempt twice
    And nothing is left to be told

  Scenario: An entry stops telling a guard that does not reply
    Given a guard that never replies to the ends of attempts
    When an entry ends 3 attempts at it
    Then nothing is left to be told

  Scenario: Many attempts without a reply cause few checks of one path
    Given a guard that responds to checks of its path
    When 40 attempts ask for another check of it within 200 ms
    Then it gets at most one check in 300 ms
    And one more when an attempt asks 400 ms later
