Feature: Verdicts on settings changes

  Scenario: A change is accepted once when the reply to its append is lost
    Given a settings fleet of 3 daemons in makati, pasig
    When the log loses the reply to the next append
    And operator amihan sets time_limit_ms of slot-desk to 700 at d1
    Then the operator gets the verdict accepted with exit code 0
    And the settings stream contains the change exactly once
    And every daemon has time_limit_ms 700 for slot-desk

  Scenario: An undetermined change is accepted when its delayed append takes effect
    Given a settings fleet of 3 daemons in makati, pasig
    When the log delays the next append
    And operator amihan sets time_limit_ms of slot-desk to 700 at d1
    Then the operator gets the verdict undetermined with exit code 3
    When the log applies the delayed appends
    And the operator settles the change at d2
    Then the operator gets the verdict accepted with exit code 0
    And every daemon has time_limit_ms 700 for slot-desk

  Scenario: A cancelled change stays refused when its delayed append takes effect
    Given a settings fleet of 3 daemons in makati, pasig
    When the log delays the next append
    And operator amihan sets time_limit_ms of slot-desk to 700 at d1
    And the operator settles the change at d2
    Then the operator gets the verdict undetermined with exit code 3
    When the operator cancels the change at d2
    Then the operator gets the verdict refused with exit code 1
    When the log applies the delayed appends
    And operator habagat sets floor_percent of proof-vault to 40 at d1
    Then the operator gets the verdict accepted with exit code 0
    And every daemon has time_limit_ms 2000 for slot-desk

  Scenario: A change is refused when the log is unreachable
    Given a settings fleet of 2 daemons in makati, pasig
    When the log is stopped
    And operator amihan sets time_limit_ms of slot-desk to 700 at d1
    Then the operator gets the verdict refused with exit code 1
    And the command prints "log unreachable"

  Scenario: A change in the log is undetermined while only one daemon holds it
    Given a settings fleet of 2 daemons in makati, pasig
    When member d2 is frozen
    And operator amihan sets time_limit_ms of slot-desk to 700 at d1
    Then the operator gets the verdict undetermined with exit code 3
    And the command prints "held only by d1"
    When member d2 goes on
    And the operator settles the change at d1
    Then the operator gets the verdict accepted with exit code 0

  Scenario Outline: One of <count> concurrent changes to the same place is accepted
    Given a settings fleet of 3 daemons in makati, pasig
    When <count> operators set time_limit_ms of slot-desk concurrently
    Then exactly one change is accepted, and its value applies at every daemon
    And the other changes are refused and name the winning change
    And the audit trail contains the accepted and the refused changes

    Examples:
      | count |
      | 2     |
      | 8     |

  Scenario Outline: All of <count> concurrent changes to different places are accepted
    Given a settings fleet of 3 daemons in makati, pasig
    When <count> operators set time_limit_ms of a service of their own concurrently
    Then all changes are accepted, and their values apply at every daemon

    Examples:
      | count |
      | 2     |
      | 8     |

  Scenario: Operators see where each setting comes from and what a change removed
    Given a settings fleet of 2 daemons in makati, pasig
    When operator amihan publishes this settings file at d1
      """
      {
        "fleet": {"floor_percent": 55},
        "data_centres": {"makati": {"queue_limit": 7}},
        "services": {
          "slot-desk": {
            "time_limit_ms": 900,
            "data_centres": {"makati": {"time_limit_ms": 800}},
            "endpoints": {"e1": {"slots": 3}}
          }
        },
        "routes": [{"host": "desk.example", "path_prefix": "/", "service": "slot-desk"}]
      }
      """
    Then the operator gets the verdict accepted with exit code 0
    And explain endpoint:slot-desk/e1 --data-centre makati at d1 shows
      | setting           | value | place                    |
      | floor_percent     | 55    | fleet                    |
      | queue_limit       | 7     | dc:makati                |
      | time_limit_ms     | 800   | service:slot-desk@makati |
      | slots             | 3     | endpoint:slot-desk/e1    |
      | attempt_limit     | 3     | default                  |
    When the operator runs "remove service:slot-desk@makati" at d1
    Then the operator gets the verdict accepted with exit code 0
    And explain endpoint:slot-desk/e1 --data-centre makati at d1 shows
      | setting       | value | place             |
      | time_limit_ms | 900   | service:slot-desk |
    And the last entry of the history of service:slot-desk@makati at d1 removes time_limit_ms 800
    When the operator runs "publish --dry-run --based-on 0 FILE" at d1
    Then the command exits with code 1
    When the operator runs "publish FILE" at d1
    Then the operator gets the verdict accepted with exit code 0
    When the operator runs "publish FILE" at d1
    Then the command prints "nothing to change"

  Scenario: The daemon rejects invalid changes that bypass the command line tool
    Given a settings fleet of 1 daemons in makati
    Then d1 answers 400 to these changes of author amihan with a reason
      | change id | edits                                                | reason                      |
      | c1        | [{"place": "fleet", "settings": {"floor_percent": 140}}] | floor_percent           |
      | c1        | [{"place": "fleet", "settings": {"colour": 1}}]      | colour                      |
      | c1        | [{"place": "zone:x", "settings": {"slots": 1}}]      | zone:x                      |
      | c1        | [{"place": "fleet", "route": {"service": "x"}}]      | the place cannot hold route |
      | c1        | [{"place": "fleet", "settings": {"shed": {"statuses": [20]}}}] | 20 is not an HTTP status |
      | c1        | [{"place": "fleet", "removal": {}}, {"place": "fleet", "removal": {}}] | edited twice |
      | c 1       | [{"place": "fleet", "settings": {"slots": 1}}]       | change id                   |
      | c1        | []                                                   | it must have edits          |

  Scenario: Another program embeds the settings component
    Given a settings fleet of 1 daemons in makati
    When operator amihan sets time_limit_ms of slot-desk to 700 at d1
    Then examples/embed_settings.py prints "revision 1: slot-desk 700 ms"
