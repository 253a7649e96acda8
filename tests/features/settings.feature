Feature: Verdicts on settings changes

  Scenario: The reply of an append is lost
    Given a settings fleet of 3 daemons in makati, pasig
    When the log loses the reply of the next append
    And operator amihan sets time_limit_ms of slot-desk to 700 at d1
    Then the operator is told accepted with exit code 0
    And the settings stream holds the change once
    And every daemon has time_limit_ms of slot-desk at 700

  Scenario: An append takes effect long after its reply was lost
    Given a settings fleet of 3 daemons in makati, pasig
    When the log holds back the next append
    And operator amihan sets time_limit_ms of slot-desk to 700 at d1
    Then the operator is told undetermined with exit code 3
    When the log lets the held appends take effect
    And the operator settles the change at d2
    Then the operator is told accepted with exit code 0
    And every daemon has time_limit_ms of slot-desk at 700

  Scenario: A lost append is cancelled before it takes effect
    Given a settings fleet of 3 daemons in makati, pasig
    When the log holds back the next append
    And operator amihan sets time_limit_ms of slot-desk to 700 at d1
    And the operator settles the change at d2
    Then the operator is told undetermined with exit code 3
    When the operator cancels the change at d2
    Then the operator is told refused with exit code 1
    When the log lets the held appends take effect
    And operator habagat sets floor_percent of proof-vault to 40 at d1
    Then the operator is told accepted with exit code 0
    And every daemon has time_limit_ms of slot-desk at 2000

  Scenario: The log cannot be reached
    Given a settings fleet of 2 daemons in makati, pasig
    When the log is stopped
    And operator amihan sets time_limit_ms of slot-desk to 700 at d1
    Then the operator is told refused with exit code 1
    And the operator reads "log unreachable"

  Scenario: A change is in the log but only one daemon holds it
    Given a settings fleet of 2 daemons in makati, pasig
    When member d2 is frozen
    And operator amihan sets time_limit_ms of slot-desk to 700 at d1
    Then the operator is told undetermined with exit code 3
    And the operator reads "held only by d1"
    When member d2 goes on
    And the operator settles the change at d1
    Then the operator is told accepted with exit code 0

  Scenario Outline: <count> operators race at the same place
    Given a settings fleet of 3 daemons in makati, pasig
    When <count> operators set time_limit_ms of slot-desk at once
    Then exactly one of them is told accepted, and its value is in force everywhere
    And the others are told refused and the name of the winning change
    And the audit trail holds the winner and the losers

    Examples:
      | count |
      | 2     |
      | 8     |

  Scenario Outline: <count> operators race at different places
    Given a settings fleet of 3 daemons in makati, pasig
    When <count> operators set time_limit_ms of a service of their own at once
    Then all of them are told accepted, and their values are in force everywhere

    Examples:
      | count |
      | 2     |
      | 8     |

  Scenario: Operators see what is set, by whom, and where it comes from
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
    Then the operator is told accepted with exit code 0
    And explain endpoint:slot-desk/e1 --data-centre makati at d1 says
      | setting           | value | place                    |
      | floor_percent     | 55    | fleet                    |
      | queue_limit       | 7     | dc:makati                |
      | time_limit_ms     | 800   | service:slot-desk@makati |
      | slots             | 3     | endpoint:slot-desk/e1    |
      | attempt_limit     | 3     | default                  |
    When the operator runs "remove service:slot-desk@makati" at d1
    Then the operator is told accepted with exit code 0
    And explain endpoint:slot-desk/e1 --data-centre makati at d1 says
      | setting       | value | place             |
      | time_limit_ms | 900   | service:slot-desk |
    And the last entry of the history of service:slot-desk@makati at d1 removes time_limit_ms 800
    When the operator runs "publish --dry-run --based-on 0 FILE" at d1
    Then its exit code in the settings test is 1
    When the operator runs "publish FILE" at d1
    Then the operator is told accepted with exit code 0
    When the operator runs "publish FILE" at d1
    Then the operator reads "nothing to change"

  Scenario: Changes that are not valid are refused by the daemon too
    Given a settings fleet of 1 daemons in makati
    Then d1 answers 400 to these changes of author amihan, and says why
      | change id | edits                                                | reason                      |
      | c1        | [{"place": "fleet", "settings": {"floor_percent": 140}}] | floor_percent           |
      | c1        | [{"place": "fleet", "settings": {"colour": 1}}]      | colour                      |
      | c1        | [{"place": "zone:x", "settings": {"slots": 1}}]      | zone:x                      |
      | c1        | [{"place": "fleet", "route": {"service": "x"}}]      | the place cannot hold route |
      | c1        | [{"place": "fleet", "settings": {"shed": {"statuses": [20]}}}] | 20 is no HTTP status |
      | c1        | [{"place": "fleet", "removal": {}}, {"place": "fleet", "removal": {}}] | edited twice |
      | c 1       | [{"place": "fleet", "settings": {"slots": 1}}]       | change id                   |
      | c1        | []                                                   | it must have edits          |

  Scenario: The settings part is embedded in another program
    Given a settings fleet of 1 daemons in makati
    When operator amihan sets time_limit_ms of slot-desk to 700 at d1
    Then examples/embed_settings.py prints "revision 1: slot-desk 700 ms"
