Feature: Operation keys while they are handed over

  Scenario: The outcome of an operation that began during the wait for another is kept
    Given a key table with an operation that takes 200 ms
    When a drain waits for its operations and another operation of 300 ms begins after 100 ms
    Then the exported keys have the outcomes of 2 operations

  Scenario: An operation that outlasts the drain is exported as unknown
    Given a key table with an operation that takes 60000 ms
    When a drain waits for its operations for 200 ms
    Then the exported keys have the outcomes of 0 operations

  Scenario: A daemon that has handed its keys over takes over no others
    Given a daemon that has handed its keys over
    When a draining daemon hands its keys over to it
    Then the hand-over is refused

  Scenario: A daemon that waits for its own hand-over still takes over others
    Given a daemon that has not handed its keys over yet
    When a draining daemon hands its keys over to it
    Then its keys are among those that are handed over next

  Scenario: An outcome that comes after the hand-over is known to the successor
    Given a draining daemon with an operation that takes 600 ms, and its successor
    When the keys are handed over after 200 ms and the operation ends as answered
    Then a repeat at the successor gets the same answer as the caller

  Scenario: An operation that turns out not to have run after the hand-over can be run
    Given a draining daemon with an operation that takes 600 ms, and its successor
    When the keys are handed over after 200 ms and the operation ends as not run
    Then a repeat at the successor runs the operation

  Scenario: A late outcome does not make a daemon the holder of a key
    Given a daemon that has not handed its keys over yet
    When the late outcome of an operation of another daemon arrives at it
    Then it does not hold the keys of the other daemon
