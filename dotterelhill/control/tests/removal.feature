Feature: Ended jobs are removed from the store after their retention

  Background:
    Given processes "a b c" that have run for 3 seconds
    And the lines of leaders are kept

  @at-most-once
  Scenario Outline: Completed jobs run again under the next leader, since only a part of their records was removed
    # Guards against TWICE of review/2: progress was removed before the submissions, which stayed.
    When 8 jobs of 1 task are submitted
    And 10 seconds pass
    And submissions can't be removed: <trouble>
    And 112 seconds pass
    And the leader is killed
    And 4 seconds pass
    Then every reachable process shows the 8 jobs as "completed" or removed
    When the store accepts removals again
    And the killed process starts again
    And <seconds> seconds pass
    Then 8 starts were carried out
    And the store holds no record of the 8 jobs

    Examples:
      | trouble                                             | seconds |
      | some partitions refuse appends                      | 130     |
      | some partitions give no answer                      | 130     |
      | all partitions refuse appends                       | 130     |
      | appends are carried out, and their answers are lost | 130     |
      | the leader ends after the first append              | 130     |
      | the leader ends after the second append             | 130     |

  Scenario: Jobs whose removal fails for longer are not removed until a leader changes
    When 8 jobs of 1 task are submitted
    And 10 seconds pass
    And submissions can't be removed: all partitions refuse appends
    And 115 seconds pass
    Then every reachable process shows the 8 jobs as "completed"
    And the leader tells once that it can't remove ended jobs
    When the store accepts removals again
    And 4 seconds pass
    Then the store holds no record of the 8 jobs
    And every reachable process does not know the 8 jobs

  Scenario: An ended job is removed although its end is not stored, so that the next leader does not know it
    When 8 jobs of 1 task are submitted
    And 0.5 seconds pass
    And the partition of the progress gives no answer
    And 124 seconds pass
    And the partition of the progress answers again
    Then the store holds the submissions of the 8 jobs
    When the leader is killed
    And 8 seconds pass
    Then every reachable process shows the 8 jobs as "completed"

  Scenario: A job that is submitted again after its removal gets the state of the earlier one
    When 8 jobs of 1 task are submitted
    And 124 seconds pass
    Then the store holds no record of the 8 jobs
    When 8 jobs of 1 task are submitted
    And 3 seconds pass
    Then every reachable process shows the 8 jobs as "completed"
    And 16 starts were carried out

  Scenario: A snapshot read before a removal brings completed jobs back
    When 8 jobs of 1 task are submitted
    And 117 seconds pass
    And a snapshot of the submissions takes 10 seconds to be processed
    And 20 seconds pass
    Then 8 starts were carried out
    And the store holds no record of the 8 jobs

  Scenario: The cancellation of a job that was removed stays in the store for ever
    When 8 jobs of 1 task are submitted
    And 124 seconds pass
    And the 8 jobs are cancelled
    And 124 seconds pass
    Then the store holds no record of the 8 jobs

  Scenario: Progress is deleted of a job whose submission another build can decode
    When 8 jobs of 1 task are submitted
    And 3 seconds pass
    And the submissions of the 8 jobs are those of a later build
    And the leader is killed
    And 5 seconds pass
    Then the store holds the progress of the 8 jobs
