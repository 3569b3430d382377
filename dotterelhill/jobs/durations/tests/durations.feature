Feature: durations of tasks learned from runs

  Scenario Outline: a wrong predictor is used although another one had a smaller error
    Given runs of "<durations>" times the estimates "<estimates>" that end done for 100 seconds
    Then the expected duration of a task estimated at 2 seconds is between <low> and <high> seconds

    Examples:
      | durations | estimates | low | high | note                               |
      | 1         | 1 2 4     | 2.0 | 2.0  | exact estimates                    |
      | 3         | 1 2 4     | 5.5 | 6.5  | too short by a constant factor     |
      | 2.0/e     | 1 2 4     | 1.8 | 2.2  | durations unrelated to estimates   |
      | tail      | 1 2 4     | 1.8 | 2.6  | 3 % take seven times as long       |

  Scenario: durations are predicted from a few runs, or from runs that are long over
    Given runs of "3" times the estimates "2" that end done for 1 seconds
    Then the expected duration of a task estimated at 2 seconds is between 2 and 2 seconds
    And the 0.95 quantile of a task estimated at 2 seconds is between 3.6 and 3.7 seconds
    And the confidence is between 0.1 and 0.4
    When runs of "3" times the estimates "2" end done for 20 seconds
    Then the expected duration of a task estimated at 2 seconds is between 5.8 and 6.2 seconds
    And the confidence is between 0.5 and 0.95
    When 600 seconds pass
    Then the expected duration of a task estimated at 2 seconds is between 2 and 2 seconds
    And the confidence is between 0 and 0.1

  Scenario: quantiles miss the stragglers, or old durations outweigh recent ones
    Given runs of "tail" times the estimates "2" that end done for 200 seconds
    Then the 0.5 quantile of a task estimated at 2 seconds is between 1.7 and 2.3 seconds
    And the 0.95 quantile of a task estimated at 2 seconds is between 2.0 and 4.0 seconds
    And the 0.99 quantile of a task estimated at 2 seconds is between 10 and 20 seconds
    When runs of "4" times the estimates "2" end done for 240 seconds
    Then the 0.5 quantile of a task estimated at 2 seconds is between 7 and 9 seconds

  Scenario: names of images use memory without bound
    Given runs of 5000 images end done
    Then at most 2048 families are kept, the newest among them

  Scenario Outline: a minion is called slow or fast without certainty
    Given a minion whose runs took "<ratios>" times as long as expected
    Then its ratio is between <low> and <high>

    Examples:
      | ratios          | low | high | note                       |
      | 8 8 8           | 1.0 | 1.0  | few observations           |
      | 1 1 7 1 1 1     | 1.0 | 1.0  | a single straggler         |
      | 8 7 9 8 8 7 8   | 7.0 | 9.0  | slow                       |
      | .5 .5 .5 .5 .5  | 0.4 | 0.6  | fast                       |

  Scenario Outline: the scheduler learns from a run whose duration is not that of a whole run
    Given a fleet whose only minion runs tasks for 3 seconds that were estimated at 1 second
    When <count> runs end as "<kind>" <condition>
    Then the expected duration is <seconds> seconds

    Examples:
      | count | kind    | condition                | seconds |
      | 12    | done    | at full pace             | 3       |
      | 12    | stopped | at full pace             | 1       |
      | 12    | done    | after a throttled period | 1       |
      | 12    | done    | after a checkpoint       | 1       |
      | 12    | done    | under a later leader     | 1       |

  Scenario Outline: jobs are ordered by estimates that are known to be wrong, or by noise
    Given tasks estimated at 8 seconds of which <count> took <taken> seconds
    When a job of such a task and one of a task estimated at 4 seconds wait for one processor
    Then the job with the estimate of <first> seconds starts first

    Examples:
      | count | taken | first | note                                |
      | 12    | 1     | 8     | far too long: its deadline is near  |
      | 4     | 1     | 4     | too few runs                        |
      | 12    | 8     | 4     | good estimates                      |

  Scenario: a report is processed in part because a run took less than a millisecond
    Given a minion that has ended 40 runs of a queue
    When another run ends in the millisecond in which it was started
    Then its job is completed
