Feature: restarts of runs that take too long

  Background:
    Given 20 minions of 4 processors on which tasks took 1 second

  @single-place
  Scenario: a straggler starts elsewhere before its run has ended, or is restarted repeatedly
    Given job "a" of 1 task
    When 4.0 seconds pass in rounds
    Then 1 starts were sent
    And the runs ordered to stop are "1"
    When run 1 ends as "stopped" with checkpoint "c1"
    And 0.3 seconds pass in rounds
    Then 2 starts were sent
    And the newest start has run 2
    And the newest start has checkpoint "c1"
    When 6.0 seconds pass in rounds
    Then 2 starts were sent
    And the runs ordered to stop are "1"

  Scenario: a run that ends done after all is started again
    Given job "a" of 1 task
    When 4.0 seconds pass in rounds
    And run 1 ends as "done"
    And 1.0 seconds pass in rounds
    Then 1 starts were sent
    And job "a" is "completed"

  @single-place
  Scenario: a run is stopped before its restart is durable, so that each leader restarts it
    Given job "a" of 1 task
    When a restart is planned
    Then no stop was sent
    When the plan is stored and a new leader that knows the durations takes over
    And 6.0 seconds pass in rounds
    Then no stop was sent
    And 1 starts were sent

  Scenario Outline: a restart costs more than it gains, or takes room from others
    Given <condition>
    And job "a" of <count> <kind> tasks
    When 6.0 seconds pass in rounds
    Then <stops> runs of job "a" were ordered to stop

    Examples:
      | condition                            | count | kind     | stops | note                  |
      | nothing more                         | 1     | usual    | 1     |                       |
      | only one attempt                     | 1     | usual    | 1     | a stop is no failure  |
      | the restarts are switched off        | 1     | usual    | 0     |                       |
      | few observations                     | 1     | usual    | 0     |                       |
      | nothing more                         | 1     | lasting  | 0     |                       |
      | a task of the same priority waits    | 1     | usual    | 0     |                       |
      | all other minions are slow           | 1     | usual    | 0     |                       |
      | nothing more                         | 20    | usual    | 0     | all runs are slow     |

  Scenario: a task starts on a minion that is slow for others although another one has room
    Given all minions but "m7" are slow
    And job "a" of 4 tasks
    When 0.3 seconds pass in rounds
    Then all starts were sent to "m7"
