Feature: Decisions under load, without a network

  Scenario Outline: The fleet's retries stay within slack and percentage
    Given <entries> entries that share a slack of 56 retries and 20 percent
    When each entry has <calls> calls and retries whenever it may
    Then all entries together retry at most <highest> times

    Examples:
      | entries | calls | highest |
      | 25      | 0     | 56      |
      | 25      | 100   | 556     |
      | 100     | 20    | 456     |

  Scenario: Entries that start anew in a window do not exceed the slack
    Given 25 entries that share a slack of 56 retries and 20 percent
    When each entry has 0 calls and retries whenever it may
    And all entries start anew
    And each entry has 0 calls and retries whenever it may
    Then all entries together retry at most 56 times

  Scenario: Entries that have saved up retries and start anew stay within the slack
    Given 25 entries that share a slack of 56 retries and 20 percent
    When each entry saves up the retries of 100 calls
    And each entry has 0 calls and retries whenever it may
    And all entries start anew
    And each entry has 12 calls and retries whenever it may
    Then all entries together retry at most 116 times

  Scenario: An entry that is cut off does not take the slack of the fleet
    Given 1 entries that share a slack of 56 retries and 20 percent
    When each entry has 0 calls and retries whenever it may
    Then all entries together retry at most 2 times

  Scenario: The most urgent call gets the next slot
    Given calls wait for a slot with ranks 2, 1, 2, 1
    When 4 slots are granted
    Then they went to the calls 2, 4, 1, 3

  Scenario: A call of low rank expects the calls that will go before it
    Given calls wait for a slot with ranks 1, 1, 1, 2
    When 4 slots are granted
    Then a call of rank 1 expects the next slot to be its own
    And a call of rank 2 expects 4 slots until its own

  Scenario: A target gets no more calls at a time than it accepts connections
    Given a target with 5 slots that accepts 2 connections
    When 3 calls that do not wait ask it for a slot
    Then 2 of them have a slot

  Scenario: A full queue turns the least urgent call away for a more urgent one
    Given calls wait for a slot with ranks 1, 2, 2
    When a call of rank 1 needs a place in the queue
    Then call 3 is turned away
    When a call of rank 2 needs a place in the queue
    Then nobody is turned away

  Scenario Outline: A call waits for a slot only until its objective
    Given a call whose objective is <objective>
    Then guards are told that <left> ms of it are left

    Examples:
      | objective   | left |
      | not known   | 0    |
      | over        | 1    |

  Scenario Outline: The time in a queue is not taken from the time for the reply
    Given a call with 2000 ms left that <waits> for a slot and may try 2 targets
    Then its next attempt may be sent within 1000 ms
    And its reply may take <reply> ms

    Examples:
      | waits         | reply |
      | does not wait | 1000  |
      | waits         | 1500  |

  Scenario: Trials that fail do not lengthen a short ejection
    Given a target that is ejected for 500 ms at first
    Then its next 5 failed trials leave it out for 500 ms each
    And its next failed trial leaves it out for 1000 ms
    When it fails again right after its return
    Then it is left out for 1000 ms

  Scenario: A lucky trial does not lengthen the ejection again and again
    Given a target that is ejected for 500 ms at first
    When it fails again right after its return
    And it fails again right after its return
    And it fails again right after its return
    Then it is left out for 1000 ms

  Scenario Outline: A call is the trial of a target only if it could be tried elsewhere
    Given targets with a target on trial and an entry with <tokens> retries left
    When 50 calls with <attempts> attempts each are placed and answered
    Then the target on trial gets <trials> of them
    And the entry has <tokens> retries left

    Examples:
      | tokens | attempts | trials |
      | 0      | 3        | none   |
      | 1      | 1        | none   |
      | 1      | 3        | some   |

  Scenario: A doubling is forgiven after some time in service
    Given a target that is ejected for 500 ms at first
    When it fails again after 3 s in service
    Then it is left out for 500 ms

  Scenario Outline: The own data centre is left for a queue that is much shorter
    Given an endpoint in makati with <local> calls and one in pasig with <remote> calls
    When 100 calls of makati choose between them
    Then <near> of them stay in makati

    Examples:
      | local | remote | near |
      | 4     | 0      | all  |
      | 5     | 4      | all  |
      | 9     | 4      | none |

  Scenario: A call that finds two queues too long is refused
    Given a call with 2000 ms left that does not wait for a slot and may try 2 targets
    When targets e1, e2 are full for it
    Then it waits for a slot from now on
    When targets e1, e2 are full for it
    Then it is not tried again

  Scenario Outline: Which endpoints a call may go to
    Given endpoints in use: <endpoints>
    When a call that <kind> has tried <tried>
    Then it may go to <eligible>

    Examples:
      | endpoints              | kind            | tried  | eligible |
      | good e1, ejected e2    | may run once    | none   | e1       |
      | good e1, ejected e2    | may run once    | e1     | none     |
      | good e1, ejected e2    | may be repeated | e1     | e2       |
      | ejected e1, ejected e2 | may run once    | none   | e1, e2   |

  Scenario: Parts of a route get their weights' shares
    Given a route with the parts slot-desk of weight 90 and proof-vault of weight 10
    When 4000 calls are led by it
    Then between 8 and 12 percent of them go to proof-vault

  Scenario: Presence is read on from the last record of a read that ended early
    Given a log that returns one record a read and holds presence of d2, d3, d4
    When presence is read 4 times
    Then the contacts are d2, d3, d4

  Scenario: A log whose reader does not read drops lines and never waits
    Given a log output into a pipe that nobody reads
    When 2000 lines are written within 2 s
    Then lines were dropped
    When the pipe is read and one more line is written
    Then the number of dropped lines is in the log

  Scenario: A restarted target is told from its late announcements
    Given a target e1 announced with start 1000 and sequence 7
    When it is announced with start 1000, sequence 6 and state draining
    Then the target is ready
    When it is announced with start 2000, sequence 1 and state draining
    Then the target is draining
    When it is announced with start 2000, sequence 2 and state ready
    Then the target is draining
    When it is announced with start 3000, sequence 1 and state ready
    Then the target is ready

  Scenario: A target that has left does not come back by a late announcement
    Given a target e1 announced with start 1000 and sequence 7
    When it says that it leaves
    And it is announced with start 1000, sequence 8 and state ready
    Then the target is not known
    When it is announced with start 2000, sequence 1 and state ready
    Then the target is ready

  Scenario: A late announcement of a process that is gone does not replace its successor
    Given a target e1 announced with start 1000 and sequence 7
    When target e2 is announced at the same address with start 900
    Then the target is ready

  Scenario: Another target at the address replaces the one before
    Given a target e1 announced with start 1000 and sequence 7
    When target e2 is announced at the same address with start 5000
    Then the target is not known

  Scenario: A target that does not tell its start comes back after draining
    Given a target e1 announced with start 0 and sequence 0
    When it is announced with start 0, sequence 0 and state draining
    And it is announced with start 0, sequence 0 and state ready
    Then the target is ready
