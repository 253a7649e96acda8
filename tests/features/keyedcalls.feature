Feature: A keyed call that the holder of its key may be running is not ended by doubt

  Scenario Outline: A keyed call whose reply was lost is ended only if its home has ended: <home>
    Given a keyed call that was sent to its home, whose reply was lost
    When the home is <home> and its host <host>
    And the path to the home works again after 2500 ms
    Then the keyed call ends with <end> within <limit_ms> ms

    Examples: doubt
      | home              | host             | end    | limit_ms |
      | declared dead     | is not reachable | answer | 3300     |
      | suspected         | is not reachable | answer | 3300     |

    Examples: certain ends
      | home              | host                | end       | limit_ms |
      | declared dead     | refuses connections | home_gone | 1900     |
      | gone by its word  | is not reachable    | home_gone | 1900     |
      | known to be newer | is not reachable    | home_gone | 1900     |

  Scenario: A keyed call whose home is in doubt is sent by relay
    Given a keyed call that was sent to its home, whose reply was lost
    When the home is declared dead and its host is not reachable
    And only a relay reaches the home after 2500 ms
    Then the keyed call ends with answer within 3300 ms

  Scenario: A keyed call is sent to the daemon that took the keys over from a home in doubt
    Given a keyed call that was sent to its home, whose reply was lost
    When the home is declared dead and its host is not reachable
    And another daemon has the keys of the home after 2000 ms
    Then the keyed call ends with answer within 2800 ms
    And the last message went to the other daemon

  Scenario: A keyed call that was sent nowhere ends after the grace time of its home
    Given a keyed call whose home refused the connection
    When the home is declared dead and its host is not reachable
    Then the keyed call ends with home_gone within 1900 ms

  Scenario: A keyed call whose home is not known ends after the grace time
    Given a keyed call whose home is not known
    Then the keyed call ends with home_gone within 1900 ms

  Scenario: A keyed call to a home in doubt is repeated less often with time
    Given a keyed call that was sent to its home, whose reply was lost
    When the home is declared dead and its host is not reachable
    Then the keyed call ends with deadline within 6500 ms
    And it was sent at most 40 times
