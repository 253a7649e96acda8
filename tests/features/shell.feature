Feature: The shell of the daemon

  Scenario: A setting whose name occurs earlier as a value is named with its own line
    Given a settings file of the shell
      """
      // "peer_address" is wrong below
      {
        "daemon": "peer_address",
        "data_centre": "a \"peer_address\": {",
        "caller_address": "127.0.0.1:1",
        "operator_address": "127.0.0.1:2",
        "log_url": "http://127.0.0.1:5", /* "peer_address":
        */
        "peer_address_overrides": {"peer_address": "127.0.0.1:6"},
        "target_address": "127.0.0.1:4",
        "peer_address": "nowhere"
      }
      """
    When the shell runs "laburnumscaled --check FILE"
    Then the exit code of the shell is 2
    And the shell has printed "shell.jsonc:11: setting "peer_address": "nowhere" is not IP:PORT"

  Scenario: A file that is no JSON is named with its line
    Given a settings file of the shell
      """
      {
        "daemon": "d1"
        "data_centre": "makati"
      }
      """
    When the shell runs "laburnumscaled FILE"
    Then the exit code of the shell is 2
    And the shell has printed "shell.jsonc:3: "

  Scenario: A correct file passes the check
    When the shell runs "laburnumscaled --check examples/daemon.jsonc"
    Then the exit code of the shell is 0

  Scenario: The help shows examples
    When the shell runs "laburnumscaled --help"
    Then the exit code of the shell is 0
    And the shell has printed "laburnumscaled --check examples/daemon.jsonc"

  Scenario Outline: An address in use is named with its setting
    Given a fleet of 1 daemons in makati
    And the fleet is ready with the settings of bantayog
    When a second daemon is started with the <role> address of d1
    Then the exit code of the shell is 2
    And the shell has printed "setting "<role>_address": cannot listen on 127.0.0.1:"

    Examples:
      | role     |
      | caller   |
      | operator |
      | peer     |
      | target   |

  Scenario: SIGTERM lets a call in flight end, a second one does not
    Given a fleet of 2 daemons in makati, pasig
    And targets p1 of proof-vault beside d2
    And the fleet is ready with the settings of bantayog
    And each call of p1 takes 1500 ms
    When d1 gets SIGTERM while it runs a call
    Then the call in flight is answered with status 200
    And the exit code of the shell is 0
    When d2 gets SIGTERM twice while it runs a call
    Then the exit code of the shell is 130
