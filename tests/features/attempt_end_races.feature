Feature: Attempts end by their reply, deadline, caller or guard in any order of events

  Scenario: The answer of a failover is not followed by that of the attempt it replaces
    Given an attempt without a reply that a failover replaces
    When a streamed reply with status 503 arrives before the failover is answered
    Then the attempt does not deliver that reply to the caller

  Scenario: The refusal of a repeat does not replace an answer that is still on its way
    Given a run whose answer of 2 messages is on its way over a slow connection
    When a repeat arrives after the end of the run
    Then the caller gets the answer of the target

  Scenario: A copy on a silent connection does not hold up the download of another copy
    Given a run with 40 replies whose newest stream is on a silent connection
    When the caller reads the replies over the former connection
    Then the caller gets all 40 messages

  Scenario: An attempt is ended although its entry has made many attempts since
    Given a run of an entry that has made 5000 attempts since
    When the entry ends the attempt
    Then the run is ended

  Scenario: The end of an attempt of a former process does not refuse that of the new one
    Given an attempt of a new process of an entry that waits for a slot
    When the end of the attempt with its number of the former process arrives
    Then the waiting attempt can be sent

  Scenario: A run that is ended before it has begun ends its streams
    Given an attempt that is ended in the moment in which it arrives
    Then its stream ends
    And a repeat of it gets a reply

  Scenario: A run of an entry whose restart is not known yet goes on
    Given a run without a stream of a process that the members do not know yet
    Then the run is not ended as an orphan

  Scenario: The reason of a refusal is repeated
    Given an attempt that its guard refused as overloaded
    When its repeat arrives
    Then the repeat is refused as overloaded

  Scenario: A connection that goes silent during a run is noticed
    Given an attempt that is waited for beyond its reply deadline
    Then its path is checked meanwhile

  Scenario: A keyed call goes on when its channel is closed
    Given a keyed call whose channel to the holder is closed after its grace time
    Then it is sent again and answered

  Scenario: An attempt whose copies are lost is repeated while a failover runs
    Given an attempt whose connection is lost during a failover that is not answered
    Then the caller gets the answer of the target

  Scenario: A guard that cannot be reached for a moment is told of ended attempts later
    Given a guard that responds again 2500 ms after the end of an attempt
    Then it is told of the end

  Scenario: A guard that drains lets an entry fetch the answer whose connection was lost
    Given a run at a draining guard whose connection is lost
    When its entry repeats the attempt 100 ms after the end of the run
    Then the repeat gets the answer, and the guard exits within 200 ms after that

  Scenario: A guard that drains waits for the repeat of an attempt for a second at most
    Given a run at a draining guard whose connection is lost
    When its entry does not repeat the attempt
    Then the guard exits within 1300 ms after that

  Scenario: A guard that can be reached again is told at once of an attempt that ends then
    Given a guard that responds again 3250 ms after the end of an attempt
    When another attempt ends 50 ms after that
    Then it is told of both within 500 ms

  Scenario: Answers to calls that may run again do not displace that of a call that may not
    Given a hold that was answered, and 400 lookups since with answers of 8 kB
    When the outcome of the hold is queried
    Then the guard still has its answer

  Scenario Outline: A small answer in several messages is not lost with its connection: <call>
    Given <call> that is answered in 2 small messages over a connection that is lost
    When its repeat arrives, and its outcome is queried
    Then both get the whole answer of the target

    Examples:
      | call     |
      | a hold   |
      | a lookup |
