Feature: The command line of the daemon

  Scenario: The error names the line of the setting, not of an earlier mention
    Given this daemon settings file
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
    When the command "laburnumscaled --check FILE" is run
    Then the process exits with code 2
    And the process has printed "shell.jsonc:11: setting "peer_address": "nowhere" is not IP:PORT"

  Scenario: The error for invalid JSON names the line
    Given this daemon settings file
      """
      {
        "daemon": "d1"
        "data_centre": "makati"
      }
      """
    When the command "laburnumscaled FILE" is run
    Then the process exits with code 2
    And the process has printed "shell.jsonc:3: "

  Scenario: A valid file passes the check
    When the command "laburnumscaled --check examples/daemon.jsonc" is run
    Then the process exits with code 0

  Scenario: The help shows examples
    When the command "laburnumscaled --help" is run
    Then the process exits with code 0
    And the process has printed "laburnumscaled --check examples/daemon.jsonc"

  Scenario: A daemon that has stopped does not spend its grace time on cleaning up
    Given a fleet of 1 daemons in makati
    And the fleet is ready with the settings of bantayog
    When a daemon with an exit handler is stopped by SIGTERM
    Then the process exits with code 0
    And the last line that the process has printed contains "daemon stopped"

  Scenario: A peer whose request is in progress at a failed start gets its reply
    Given a daemon whose peer server is answering a query
    When its next address is in use
    Then the start fails with the address in use
    And the peer has received the reply of its query

  Scenario Outline: The error for an address in use names the setting
    Given a fleet of 1 daemons in makati
    And the fleet is ready with the settings of bantayog
    When a second daemon is started with the <role> address of d1
    Then the process exits with code 2
    And the process has printed "setting "<role>_address": cannot listen on 127.0.0.1:"

    Examples: addresses
      | role     |
      | caller   |
      | operator |
      | peer     |
      | target   |

  Scenario: The first SIGTERM drains calls in flight, the second one ends the daemon
    Given a fleet of 2 daemons in makati, pasig
    And targets p1 of proof-vault beside d2
    And the fleet is ready with the settings of bantayog
    And each call to p1 takes 1500 ms
    When d1 receives SIGTERM while it forwards a call
    Then the call in flight is answered with status 200
    And the process exits with code 0
    When d2 receives SIGTERM twice while it forwards a call
    Then the process exits with code 130

  Scenario: The daemon is imported without garbage collections and certificates
    When the command of the daemon is imported
    Then no garbage collection ran meanwhile, and they run again afterwards
    And no certificates were read
