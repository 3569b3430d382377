Feature: The leader's memory and rounds grow with the work that is due, not with all that is accepted

  Scenario: Occurrences that are not due fill the memory of each leader, so that none of them starts anything
    # Guards against LOST of review/3: the tasks of all occurrences waited from the acceptance on.
    Given a fleet with minions "m1 m2" of 8 processors
    When 20 jobs are accepted that run 19900 times from tomorrow on
    And job "b" of 3 tasks of 1 processors is submitted
    And 2 rounds pass
    Then job "b" has started
    And the accepted jobs take at most 16 KB each
    When a new leader takes over
    And 1 rounds pass
    Then the accepted jobs take at most 16 KB each

  @at-most-once
  Scenario Outline: Tasks that are not opened at once are left out, run twice, or run in memory for ever
    Given a fleet with minions "m1 m2" of 900 processors
    When a job of <steps> steps of <count> tasks that runs <times> times is accepted, all of them due
    And rounds pass in which each run ends, with a new leader after <rounds> of them
    Then each task of the job was started once, and the job is completed
    And at most <most> tasks were open at a time
    And the leader remembers at most <most> tasks of the job at a time

    Examples:
      | steps | count | times | rounds | most |
      | 1     | 5000  | 1     | 2      | 5000 |
      | 1     | 1     | 4000  | 2      | 2100 |
      | 2     | 3     | 700   | 3      | 2100 |
      | 2     | 1500  | 2     | 2      | 6000 |

  Scenario: A gang of more tasks than are opened at once never starts
    Given a fleet with minions "m1 m2 m3" of 900 processors
    When a gang of 1500 tasks is accepted
    And 2 rounds pass
    Then 1500 starts were sent in total

  Scenario: The memory of jobs is counted wrongly, so that submissions are refused for ever or never
    Given a fleet with minions "m1 m2" of 900 processors
    When a job of 2 steps of 3 tasks that runs 1 times is accepted, all of them due
    And rounds pass in which each run ends, with a new leader after 1 of them
    And the removal of all jobs succeeds after their retention
    Then no memory of jobs is counted
