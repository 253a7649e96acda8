Feature: A daemon that drains answers or refuses each request that it reads

  Scenario: A request on a kept connection is not cut off by the end of the daemon
    Given a fleet of 2 daemons that drain for at most 4000 ms
    And target p1 of proof-vault beside d2 that responds after 20 ms
    And target p2 of proof-vault beside d2 that responds after 20 ms
    And the fleet is ready with the settings of bantayog
    And 30 callers keep connections to d1 open
    And all targets respond after 700 ms from now on
    When d1 gets SIGTERM and the callers send holds between 0 and 3600 ms after it
    Then no hold that a target ran was left without an answer
    And each connection that ended without an answer ended within 200 ms of its hold
    And all holds that were refused name a time to retry and were not run

  Scenario: A request that comes after the notice period of a drain is refused at once
    Given a fleet of 2 daemons that drain for at most 5000 ms
    And target p1 of proof-vault beside d2 that responds after 20 ms
    And the fleet is ready with the settings of bantayog
    And 4 callers keep connections to d1 open
    And all targets respond after 3500 ms from now on
    When d1 gets SIGTERM while p1 runs a hold from d1, and the callers send holds between 2600 and 3000 ms after it
    Then each hold was refused within 200 ms, or its connection had ended
    And no target ran any of them

  Scenario: A hold that outlasts the drain gets a final answer
    Given a fleet of 2 daemons that drain for at most 3000 ms
    And target p1 of proof-vault beside d2 that responds after 9000 ms
    And the fleet is ready with the settings of bantayog
    When d1 gets SIGTERM while p1 runs a hold from d1, and the hold ends
    Then the hold has status 504 and the outcome unknown
    And the log of d1 names the hold as cut off

  Scenario: An attempt that waits in the queue of a guard that drains is refused
    Given a fleet of 1 daemons that drain for at most 3000 ms
    And target e1 of slot-desk beside d1 that responds after 9000 ms
    And the fleet is ready with the settings of bantayog
    When a simulated entry's holds fill the slots of e1 and one more waits when d1 gets SIGTERM
    Then the hold that waits ends as not_run draining within 2000 ms

  Scenario: A request that is complete only after the notice period is refused at once
    Given a fleet of 2 daemons that drain for at most 5000 ms
    And target p1 of proof-vault beside d2 that responds after 20 ms
    And the fleet is ready with the settings of bantayog
    And 4 callers keep connections to d1 open
    And all targets respond after 3500 ms from now on
    When d1 gets SIGTERM while p1 runs a hold from d1, and the callers end holds that they began between 2600 and 3000 ms after it
    Then each hold was refused within 200 ms and names a time to retry
    And no target ran any of them

  Scenario: A call through the daemon of a target that runs its last attempt is served
    Given a fleet of 2 daemons that drain for at most 5000 ms
    And target p1 of proof-vault beside d1 that responds after 3300 ms
    And target e1 of slot-desk beside d2 that responds after 20 ms
    And the fleet is ready with the settings of bantayog
    When d1 gets SIGTERM while p1 runs a lookup from d2
    Then 2600 ms after it d1 serves a lookup of slot-desk with 800 ms left
    And it refuses one of proof-vault with 60000 ms left

  Scenario: A keyed call has its whole time limit at its holder while its entry drains
    Given a fleet of 2 daemons that drain for at most 3000 ms
    And target p1 of proof-vault beside d2 that responds after 4000 ms
    And the fleet is ready with the settings of bantayog
    When d1 gets SIGTERM and gets a hold with a key of d2
    Then d2 answers a repeat of that hold with status 200
    And p1 ran it once

  Scenario: A request whose body does not arrive by the end of the drain is refused
    Given a fleet of 1 daemons that drain for at most 2000 ms
    And target p1 of proof-vault beside d1 that responds after 20 ms
    And the fleet is ready with the settings of bantayog
    When d1 gets SIGTERM after a caller has sent a hold without the end of its body
    Then the raw answer has status 503 and the outcome not_run
    And no target ran any of them

  Scenario: An upload that outlasts the drain gets a final answer
    Given a fleet of 1 daemons that drain for at most 2000 ms
    And target p1 of proof-vault beside d1 that responds after 20 ms
    And the fleet is ready with the settings of bantayog
    When d1 gets SIGTERM after a caller has sent a part of a chunked hold
    Then the raw answer has status 504 and the outcome unknown

  Scenario Outline: A download ends visibly incomplete when <daemon> ends by <signal>
    Given a fleet of 2 daemons that drain for at most 2000 ms
    And target p1 of proof-vault beside d2 that responds after 20 ms
    And the fleet is ready with the settings of bantayog
    When <daemon> gets <signal> while a caller that does not read downloads 40000000 bytes from d1
    Then the download ends before its announced length

    Examples:
      | daemon | signal  |
      | d1     | SIGTERM |
      | d2     | SIGTERM |
      | d2     | SIGKILL |

  Scenario: A hold that outlasts the drain of the guard at its target gets a final answer
    Given a fleet of 2 daemons that drain for at most 2000 ms
    And target p1 of proof-vault beside d2 that responds after 60000 ms
    And the fleet is ready with the settings of bantayog
    When d2 gets SIGTERM while p1 runs a hold from d1, and the hold ends
    Then the hold has status 504 and the outcome unknown
    And the hold ends within 2500 ms of the signal

  Scenario: A hold whose guard is killed gets its final answer before its time limit
    Given a fleet of 2 daemons that drain for at most 2000 ms
    And target p1 of proof-vault beside d2 that responds after 60000 ms
    And the fleet is ready with the settings of bantayog
    When d2 gets SIGKILL while p1 runs a hold from d1, and the hold ends
    Then the hold has status 504 and the outcome unknown
    And the hold ends within 2500 ms of the signal

  Scenario: The target of an attempt that a draining guard admits is told when the drain ends
    Given a fleet of 1 daemons that drain for at most 3000 ms
    And target e1 of slot-desk beside d1 that responds after 300 ms
    And the fleet is ready with the settings of bantayog
    When a simulated entry sends a hold with 60000 ms left to d1 200 ms after SIGTERM
    Then e1 was told that at most 2000 ms are left
