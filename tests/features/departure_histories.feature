Feature: Whatever happens to daemons and the log, an acknowledged departure holds

  # The acknowledgement binds the fleet also if all daemons end at that moment.
  Scenario Outline: Late heartbeats bring no process back that has left
    When daemons have <faults> while targets leave, with the seeds <seeds>
    Then no daemon takes up a process whose departure was acknowledged
    And departures are acknowledged within 4 s once nothing is at fault

    Examples:
      | faults                                          | seeds   |
      | kill all                                        | 1 to 5  |
      | kill all, slow                                  | 1 to 5  |
      | kill all, lost                                  | 1 to 5  |
      | kill all, late                                  | 1 to 10 |
      | kill all, away                                  | 1 to 5  |
      | kill all, cut, kill some                        | 1 to 5  |
      | kill all, kill some, cut, slow, lost, late, away | 1 to 10 |
