Feature: Confirmations of settings have a bounded age and are never too young

  Scenario Outline: No daemon confirms settings that were not the newest, seeds <first> to <last>
    Given a log whose revision rises at random, with readers that read it late
    And daemons that ask the readers by datagrams that are lost, delayed and doubled
    Then no daemon takes settings for the newest of a time when newer ones existed, with seeds <first> to <last>

    Examples:
      | first | last |
      | 1     | 60   |

  Scenario: The confirmation of a daemon stays valid while one of its readers replies
    Given a daemon with 4 readers, of which only the last replies
    Then its confirmation is valid for 60 s without interruption

  Scenario: A daemon whose readers have all lost the log asks them at a bounded rate
    Given a daemon with 4 readers whose own confirmations grow old
    Then it sends at most 3 requests a second
    And its confirmation is not renewed

  Scenario: Replies that nobody asked for are ignored
    Given a daemon with 4 readers whose own confirmations grow old
    When it gets a confirmation with an unknown number, one without an age and one twice
    Then its confirmation is not renewed
