Feature: An attempt that its guard may be running is not ended by doubt about the path

  Background:
    Given a fault-injecting link from d1 to d2
    And a fleet of 2 daemons that drain for at most 8000 ms
    And target p1 of proof-vault beside d2 that responds after 20 ms
    And target e1 of slot-desk beside d2 that responds after 20 ms
    And the fleet is ready with 2 attempts of each call
    And a caller of d1 has used its connection, and keeps it

  Scenario: A draining entry does not give up a lookup because its path is broken for a moment
    When d1 begins to drain
    And the caller sends a lookup that p1 runs for 2000 ms, with a limit of 3000 ms
    And 800 ms later the path from d1 to d2 is broken for 900 ms
    Then the call has the answer of p1
    And p1 ran the call once, to its end

  Scenario: A draining entry does not give up a lookup because its repeat is refused
    When d1 begins to drain
    And the open connections from d2 to d1 deliver late
    And the caller sends a lookup that p1 runs for 2000 ms, with a limit of 3000 ms
    And 800 ms later the open connections deliver again
    Then the call has the answer of p1
    And p1 ran the call once, to its end

  Scenario: An entry does not give up a lookup because its path is broken for a moment
    When the caller sends a lookup that p1 runs for 2000 ms, with a limit of 3000 ms
    And 800 ms later the path from d1 to d2 is broken for 900 ms
    Then the call has the answer of p1
    And p1 ran the call once, to its end

  Scenario: An entry does not give up a lookup because its repeat is refused
    When the open connections from d2 to d1 deliver late
    And the caller sends a lookup that p1 runs for 2000 ms, with a limit of 3000 ms
    And 800 ms later the open connections deliver again
    Then the call has the answer of p1
    And p1 ran the call once, to its end

  Scenario: A draining entry does not give up a lookup because the other target is full
    Given d3 joins with target p2 of proof-vault, which is full
    When d1 begins to drain
    And the caller sends a lookup that p1 runs for 2000 ms, with a limit of 3000 ms
    And 800 ms later the path from d1 to d2 is broken for 900 ms
    Then the call has the answer of p1
    And p1 ran the call once, to its end

  Scenario: An entry does not give up a lookup because the other target is full
    Given d3 joins with target p2 of proof-vault, which is full
    When the caller sends a lookup that p1 runs for 2000 ms, with a limit of 3000 ms
    And 800 ms later the path from d1 to d2 is broken for 900 ms
    Then the call has the answer of p1
    And p1 ran the call once, to its end

  Scenario Outline: The reset of its connection does not end a <kind> that its target runs
    When the caller sends a <kind> that p1 runs for 2000 ms, with a limit of 3000 ms
    And 500 ms later the open connections from d1 to d2 are reset
    Then the call has the answer of p1
    And p1 ran the call once, to its end

    Examples:
      | kind   |
      | hold   |
      | lookup |

  Scenario Outline: Many resets of its connections do not end a <kind> that its target runs
    When the caller sends a <kind> that p1 runs for 4000 ms, with a limit of 6000 ms
    And 200 ms later the open connections from d1 to d2 are reset 14 times, every 200 ms
    Then the call has the answer of p1
    And p1 ran the call once, to its end

    Examples:
      | kind   |
      | hold   |
      | lookup |

  Scenario: A download goes on to its end after its connection was taken for silent
    When the caller downloads 60000000 bytes from d1 in 15000 ms
    And after 500 ms the open connections from d2 to d1 deliver late until d1 replaces its own
    Then the log of d1 has the line "silent connection replaced"
    And the download is complete

  Scenario: A run ends soon after its caller has left
    When the caller sends a lookup that p1 runs for 20000 ms, with a limit of 30000 ms
    And 400 ms later the caller leaves
    Then the run at p1 ends within 500 ms of that

  Scenario: A run whose connection has just fallen silent ends soon after its caller has left
    When the caller sends a lookup that p1 runs for 20000 ms, with a limit of 30000 ms
    And 300 ms later the open connections between d1 and d2 fall silent for good
    And 400 ms later the caller leaves
    Then the run at p1 ends within 500 ms of that

  Scenario: A run whose silent connection was replaced ends soon after its caller has left
    When the caller sends a lookup that p1 runs for 20000 ms, with a limit of 30000 ms
    And 300 ms later the open connections between d1 and d2 fall silent for good
    And d1 replaces its connection to d2
    And 1500 ms later the caller leaves
    Then the run at p1 ends within 500 ms of that

  Scenario: An entry notices that a connection falls silent while a lookup runs
    When the caller sends a lookup that p1 runs for 1500 ms, with a limit of 3000 ms
    And 600 ms later the open connections from d2 to d1 fall silent
    Then the call has the answer of p1
    And p1 ran the call once, to its end
