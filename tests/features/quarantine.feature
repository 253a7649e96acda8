Feature: Calls under which several targets ended are refused, and others are not

  Scenario: A call is refused by all daemons after the third end of a target
    Given the quarantines of 3 daemons
    When a target ends under call p at daemon 1
    And a target ends under call p at daemon 2
    And the daemons tell each other of suspect calls
    Then no daemon refuses call p
    And no daemon sends call p to a second target
    When a target ends under call p at daemon 3
    And the daemons tell each other of suspect calls
    Then all daemons refuse call p for at least 500000 ms

  Scenario: Ends that no daemon has seen alone add up
    Given the quarantines of 3 daemons
    When a target ends under call p at daemon 1
    And a target ends under call p at daemon 2
    And a target ends under call p at daemon 3
    And the daemons tell each other of suspect calls
    Then all daemons refuse call p for at least 500000 ms

  Scenario: A target that ended once counts once for all attempts that it ran
    Given the quarantines of 2 daemons
    When one target ends under call p twice at daemon 1
    And the daemons tell each other of suspect calls
    Then the daemons know 1 end of a target under call p

  Scenario: A good answer clears a call that ran beside a harmful one
    Given the quarantines of 2 daemons
    When a target ends under call p at daemon 1
    And a target ends under call p at daemon 1
    And the daemons tell each other of suspect calls
    And daemon 2 gets a good answer to call p
    And the daemons tell each other of suspect calls
    And a target ends under call p at daemon 1
    Then no daemon refuses call p

  Scenario: An operator releases a call on all daemons
    Given the quarantines of 2 daemons
    When 3 targets end under call p at daemon 1
    And the daemons tell each other of suspect calls
    And an operator releases call p at daemon 2
    And the daemons tell each other of suspect calls
    Then no daemon refuses call p

  Scenario: One more end of a target renews a refusal that has run out
    Given the quarantines of 2 daemons
    When 3 targets end under call p at daemon 1
    And the daemons tell each other of suspect calls
    And the refusal of call p runs out
    Then no daemon refuses call p
    When a target ends under call p at daemon 2
    And the daemons tell each other of suspect calls
    Then all daemons refuse call p for at least 500000 ms

  Scenario: Endless variants of a call do not use up memory or free a refused call
    Given the quarantines of 2 daemons
    When 3 targets end under call p at daemon 1
    And a target ends under each of 3000 other calls at daemon 1
    Then daemon 1 knows at most 1024 suspect calls
    And daemon 1 refuses call p
    And its messages to another daemon hold at most 64 calls, call p among them

  Scenario: Daemons that hear of ends and clearances in any order agree
    Then daemons that merge the same records in any order hold the same record

  Scenario Outline: The fingerprint of a call <relation> that of a call with another <part>
    Then two calls that differ only in their <part> have <fingerprints> fingerprints

    Examples:
      | part           | relation     | fingerprints |
      | request id     | equals       | equal        |
      | time left      | equals       | equal        |
      | other header   | equals       | equal        |
      | path           | differs from | different    |
      | method         | differs from | different    |
      | body           | differs from | different    |
      | caller service | differs from | different    |
      | credentials    | differs from | different    |
      | route          | differs from | different    |

  Scenario Outline: A target that <behaviour> after a broken connection <verdict>
    Given a target address that <behaviour>
    Then the check of the target finds <verdict>

    Examples:
      | behaviour                   | verdict  |
      | refuses connections         | an end   |
      | accepts connections         | no end   |
      | accepts and closes at first | an end   |
      | refuses while it drains     | no end   |

  Scenario: Gossip sends a suspect call a limited number of times
    Given a queue of suspect calls with 30 calls
    When datagrams for a group of 99 daemons are filled until the queue is empty
    Then each call was sent 6 times and no datagram holds more than 700 bytes of calls

  Scenario: A harmful call is gossiped before those that ran beside it
    Given a queue of suspect calls with 200 calls
    When a call under which 3 targets ended is added to the queue
    Then it is in the next 4 datagrams of 700 bytes

  # Daemons that had forgotten an expired record sent it to and fro without end.
  Scenario: A record that has expired is not passed on
    Given the quarantines of 2 daemons
    When daemon 1 is told of a call under which a target ended, with 0 ms until it expires
    Then daemon 1 passes 0 records on
    When daemon 2 is told of a call under which a target ended, with 5000 ms until it expires
    Then daemon 2 passes 1 records on

  Scenario: Daemons that run no part of a call hear of the ends of its targets
    Given a fleet of 3 daemons in makati
    And two targets of slot-desk beside d1 end on "/crash"
    And the fleet is ready with the settings of bantayog
    When a caller sends one POST /slot-desk/crash to d1
    Then within 2 s the quarantines of d1, d2, d3 show 1 end of a target for /crash
    When an operator releases that call at d3
    Then within 2 s the quarantines of d1, d2, d3 show no call
