Feature: Membership during crashes, pauses and network partitions

  A member that most of the others consider alive stays listed. A daemon that dies is
  dead in all views within 15 s, and the views converge within 15 s after a network
  partition heals.

  Scenario: A killed daemon is declared dead and its replacement joins again
    Given a membership of 4 daemons
    When member d4 is killed
    Then d4 is dead for all others within 15 s
    When member d4 is started again
    Then all views are equal within 15 s
    And member d4 has a higher incarnation than before

  Scenario: A replacement whose clock was set back gets a higher incarnation
    Given a membership of 3 daemons
    When member d3 is killed
    And the others receive an entry of member d3 with an incarnation 1 day ahead
    And member d3 is started again
    Then all views are equal within 15 s
    And member d3 has a higher incarnation than before

  Scenario: A daemon that shuts down is listed as left by the others
    Given a membership of 4 daemons
    When member d4 leaves
    Then d4 is listed as left by all others within 3 s

  Scenario: Loss of all traffic in one direction removes no living member
    Given member links among 4 daemons
    And a membership of 4 daemons
    When all traffic from member d1 to member d2 is dropped
    And the views are watched for 8 s
    Then no living member was ever missing from a view
    And most indirect probes succeeded

  Scenario: A daemon that receives no messages removes no other member
    Given member links among 4 daemons
    And a membership of 4 daemons
    When all traffic from any other member to d1 is dropped
    And the views are watched for 8 s
    Then d2, d3, d4 were never missing from each other's views
    When all member links are healed
    Then all views are equal within 15 s

  Scenario: A short pause removes no living member
    Given a membership of 4 daemons
    When member d2 pauses for 1.5 s
    And the views are watched for 5 s
    Then no living member was ever missing from a view

  Scenario: A daemon that was declared dead during a pause keeps its incarnation
    Given a membership of 4 daemons
    When member d2 is frozen
    Then d2 is dead for all others within 15 s
    When member d2 goes on
    And the views are watched for 5 s
    Then d1, d3, d4 were never missing from each other's views
    And all views are equal within 15 s
    And member d2 has the same incarnation as before

  Scenario: Views converge after a long partition between data centres
    Given member links among 6 daemons
    And a membership of 6 daemons
    When members d4, d5, d6 are partitioned from the others
    Then d4, d5, d6 are dead for d1, d2, d3 within 20 s
    And d1, d2, d3 are dead for d4, d5, d6 within 20 s
    When all member links are healed
    And the views are watched for 6 s
    Then d1, d2, d3 were never missing from each other's views
    And d4, d5, d6 were never missing from each other's views
    And all views are equal within 15 s

  Scenario: Daemons discover each other through a seed while the log is down
    Given a log that is down
    And a membership of 3 daemons with d1 as seed
    Then all views are equal within 15 s

  Scenario: A daemon whose name is taken by a second daemon becomes not ready
    Given a membership of 3 daemons
    When a second daemon is started under the name of member d3
    Then all members but d3 list the second daemon within 15 s
    And member d3 reports that its name was taken
