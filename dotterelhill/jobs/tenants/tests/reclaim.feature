Feature: reclaim of capacity for tenants below their share

  Background:
    Given a fleet with minions "m1 m2" of 8 processors
    And the minions have 4 accelerators
    And checkpoints are reported every 0.4 s

  Scenario Outline: a tenant below its share waits for <kind> that could stop, or stops others
    Given tenant "t" submits job "a" of 8 <kind> of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 8 <waiting> of 1 processors and 1 accelerators
    When 8 seconds pass with orders carried out
    Then <stops> runs were ordered to stop, all of job "a"
    And <stops> tasks of job "b" run
    And no run is paused

    Examples:
      | kind                  | waiting               | stops |
      | checkpointing fillers | tasks                 | 4     |
      | checkpointing fillers | fillers               | 4     |
      | checkpointing fillers | checkpointing fillers | 4     |
      | checkpointing fillers | lasting tasks         | 4     |
      | checkpointing fillers | gang tasks            | 0     |
      | fillers               | tasks                 | 0     |
      | tasks                 | tasks                 | 0     |
      | lasting tasks         | tasks                 | 0     |

  Scenario Outline: runs are stopped although <why>
    Given the weight of tenant "t" is <weight>
    And tenant "t" submits job "a" of <held> checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "<other>" submits job "b" of 8 tasks of <cpu> processors and <gpu> accelerators on queue "<queue>"
    When 8 seconds pass with orders carried out
    Then <stops> runs were ordered to stop, all of job "a"

    Examples:
      | why                                        | weight | held | other | cpu | gpu | queue | stops |
      | the shares are within a tenth then         | 3      | 8    | u     | 1   | 1   | short | 2     |
      | both tenants then have the same share      | 1      | 8    | u     | 1   | 1   | short | 4     |
      | the waiting tasks fit nowhere              | 1      | 8    | u     | 9   | 1   | short | 0     |
      | one stop is not enough for a waiting task  | 1      | 8    | u     | 1   | 2   | short | 0     |
      | processors of reserving tasks are all used | 1      | 8    | u     | 8   | 0   | short | 0     |
      | the jobs belong to no tenant               | 1      | 8    |       | 1   | 1   | short | 0     |
      | both jobs belong to one tenant             | 1      | 8    | t     | 1   | 1   | short | 0     |
      | their tasks would start again first        | 1      | 8    | u     | 1   | 1   | long  | 0     |

  Scenario: fillers of a tenant below its share wait for the processors that other fillers use
    Given tenant "t" submits job "a" of 8 checkpointing fillers of 2 processors
    And 1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 8 fillers of 2 processors
    When 8 seconds pass with orders carried out
    Then 4 runs were ordered to stop, all of job "a"
    And 4 tasks of job "b" run
    And no run is paused

  Scenario Outline: capacity is reclaimed <where>
    Given <where>
    And tenant "<tenant>" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "<other>" submits job "b" of 8 tasks of 1 processors and 1 accelerators
    When 4 seconds pass with orders carried out
    Then no stop was sent
    And no run is paused

    Examples:
      | where                                           | tenant | other |
      | where there are no tenants                      |        |       |
      | where the switch is off                         | t      | u     |
      | where checkpoints are older than a restore costs | t     | u     |

  Scenario: runs are stopped before their pause is stored, or without a pause
    Given tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 8 tasks of 1 processors and 1 accelerators
    When 0.5 seconds pass with orders carried out
    Then the paused runs are stored with their newest checkpoints
    And no stop was sent
    When 8 seconds pass with orders carried out
    Then each run had been paused for 0.5 s when it was stopped
    And at most one run was stopped on each minion in any 0.5 s
    And the decisions about tenants are "capacity is reclaimed for a tenant below its share, capacity is no longer reclaimed for a tenant"
    And the gauge of reclaimed runs of tenant "t" is 4

  Scenario Outline: runs stay paused or are stopped when <event>
    Given tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 2 tasks of 1 processors and 1 accelerators
    When 0.4 seconds pass with orders carried out
    Then 2 runs are paused
    When <event>
    And <seconds> seconds pass with orders carried out
    Then <stops> runs were ordered to stop, all of job "a"
    And no run is paused

    Examples:
      | event                                          | seconds | stops |
      | nothing happens                                | 2       | 2     |
      | tenant "u" cancels job "b"                     | 2       | 0     |
      | the limit of tenant "u" becomes "0 1 0"        | 2       | 0     |
      | the paused runs end by themselves              | 2       | 0     |
      | the minions of the paused runs drain           | 0.5     | 8     |
      | no start order can be sent any more            | 2       | 0     |
      | a new leader takes over                        | 0.2     | 0     |

  Scenario Outline: reclaim goes beyond equal shares, or takes turns (u has <own>, v waits for <size>)
    Given the minions have <accelerators> accelerators
    And tenant "u" submits job "own" of <own> tasks of 0 processors and 1 accelerators
    And tenant "t" submits job "a" of <held> checkpointing fillers of 0 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "v" submits job "c" of <others> tasks of <size> processors and 1 accelerators
    And tenant "u" submits job "b" of 8 tasks of 0 processors and 1 accelerators
    When 4 seconds pass with orders carried out
    Then <stops> runs were ordered to stop, all of job "a"

    Examples: a task of 9 processors fits nowhere
      | accelerators | own | held | others | size | stops |
      | 20           | 19  | 21   | 0      | 0    | 0     |
      | 20           | 18  | 22   | 0      | 0    | 1     |
      | 1            | 1   | 1    | 1      | 0    | 0     |
      | 5            | 4   | 6    | 1      | 9    | 0     |

  Scenario Outline: <when>, a filler of another tenant claims the place that was to become free
    Given tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1.1 seconds pass with orders carried out
    And tenant "v" submits job "c" of 1 fillers of 1 processors and 2 accelerators
    And <seconds> seconds pass with orders carried out
    And tenant "u" submits job "b" of 1 fillers of 1 processors and 1 accelerators
    When 1.2 seconds pass with orders carried out
    Then 1 tasks of job "b" run
    And 1 runs were ordered to stop, all of job "a"

    Examples:
      | when                  | seconds |
      | while a run is paused | 1.5     |
      | after a run's stop    | 1.2     |

  Scenario: a place stays left to others after the task for which a run is stopped has started
    Given tenant "t" submits job "a" of 8 checkpointing fillers of 2 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 1 fillers of 2 processors
    And tenant "t" submits job "c" of 1 tasks of 1 processors and 1 accelerators
    When seconds pass until a run is ordered to stop
    Then 1 tasks of job "b" run
    When 0.1 seconds pass with orders carried out
    Then 1 tasks of job "c" run

  Scenario Outline: after a run's stop, a filler of a third tenant above its share starts in its place
    Given tenant "v" submits job "d" of 4 tasks of 1 processors and 1 accelerators
    And tenant "t" submits job "a" of 4 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "v" submits job "c" of 1 fillers of 1 processors and 1 accelerators
    And <seconds> seconds pass with orders carried out
    And tenant "u" submits job "b" of 1 tasks of 1 processors and 1 accelerators
    When 3 seconds pass with orders carried out
    Then 1 tasks of job "b" run
    And 0 tasks of job "c" run
    And 1 runs were ordered to stop, all of job "a"

    Examples: a filler that has waited for 2 s starts wherever it fits while half of a service is idle
      | seconds |
      | 2       |
      | 5       |
      | 8       |

  Scenario Outline: <kind> of the tenant that gave up a run start there when a job ends too late since
    Given tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1.1 seconds pass with orders carried out
    And checkpoints are no longer reported
    And 1.1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 1 <kind> of 1 processors and 1 accelerators
    And 0.5 seconds pass with orders carried out
    And tenant "t" submits job "c" of 1 <others> of 1 processors and 1 accelerators
    And 6.8 seconds pass with orders carried out
    And checkpoints are reported again
    When 2 seconds pass with orders carried out
    Then 1 tasks of job "b" run
    And 1 runs were ordered to stop, all of job "a"

    Examples: the job of tenant "u" is in time when the run is stopped, and late when its place is free
      | kind          | others        |
      | tasks         | tasks         |
      | tasks         | gang tasks    |
      | lasting tasks | lasting tasks |

  Scenario: no task starts in the place of a stopped run after the job that waited for it is cancelled
    Given tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 1 tasks of 1 processors and 1 accelerators
    When seconds pass until a run is ordered to stop
    And tenant "u" cancels job "b"
    And 0.5 seconds pass with orders carried out
    Then 0 tasks of job "b" run
    And 8 tasks of job "a" run

  Scenario: the tenant that gave up a run has a lasting task that precedes others since the stop
    Given tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1.1 seconds pass with orders carried out
    And tenant "t" submits job "l" of 1 lasting tasks of 1 processors and 1 accelerators
    And 4.2 seconds pass with orders carried out
    And tenant "u" submits job "b" of 1 tasks of 1 processors and 1 accelerators
    When 2 seconds pass with orders carried out
    Then no stop was sent

  Scenario: of two lasting tasks that precede others, that of the tenant above its share starts
    Given tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And checkpoints are no longer reported
    And tenant "t" submits job "l" of 1 lasting tasks of 1 processors and 1 accelerators
    And 0.5 seconds pass with orders carried out
    And tenant "u" submits job "b" of 1 lasting tasks of 1 processors and 1 accelerators
    And 6 seconds pass with orders carried out
    And checkpoints are reported again
    When 2 seconds pass with orders carried out
    Then no stop was sent

  Scenario Outline: a filler is not tried in the round in which a place becomes free for it
    Given a round follows another one after 0.05 s
    And tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And <seconds> seconds pass with orders carried out
    And tenant "t" submits job "s" of 1 tasks of 1 processors and 1 accelerators
    And tenant "u" submits job "b" of 1 fillers of 1 processors and 1 accelerators
    When 1.2 seconds pass with orders carried out
    Then 1 tasks of job "b" run
    And 1 runs were ordered to stop, all of job "a"

    Examples: fillers that fitted nowhere are tried again each 0.1 s otherwise
      | seconds |
      | 1.0     |
      | 1.05    |
      | 1.1     |

  Scenario Outline: a run is stopped for <kind> that could start beside another in one place
    Given tenant "t" submits job "a" of 4 checkpointing fillers of <cpu> processors and 2 accelerators
    And 1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 2 <kind> of 1 processors and 1 accelerators
    When 4 seconds pass with orders carried out
    Then 1 runs were ordered to stop, all of job "a"
    And 2 tasks of job "b" run

    Examples:
      | kind          | cpu |
      | tasks         | 2   |
      | lasting tasks | 2   |
      | fillers       | 2   |
      | fillers       | 1   |

  Scenario: a lasting task precedes the filler for which a run is stopped where that has a claim
    Given tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And checkpoints are no longer reported
    And tenant "t" submits job "l" of 1 lasting tasks of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 1 fillers of 1 processors and 1 accelerators
    And 6 seconds pass with orders carried out
    And checkpoints are reported again
    When 2 seconds pass with orders carried out
    Then no stop was sent

  Scenario: a tenant that gave up a run claims no minion for as long as starts are limited
    Given the minions have 2 accelerators
    And tenant "t" submits job "a" of 4 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "t" submits job "c" of 1 fillers of 1 processors and 2 accelerators
    And tenant "u" submits job "b" of 1 tasks of 1 processors and 1 accelerators
    When seconds pass until a run is ordered to stop
    And tenant "t" cancels job "a"
    And short tasks of no tenant use the only start of each round for 6 seconds
    Then 1 tasks of job "c" run

  Scenario: runs that lose more work are stopped first
    Given the minions have 1 accelerators
    And tenant "t" submits job "c" of 1 checkpointing fillers of 4 processors and 1 accelerators
    And tenant "t" submits job "a" of 1 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 1 tasks of 1 processors and 1 accelerators
    When 4 seconds pass with orders carried out
    Then 1 runs were ordered to stop, all of job "a"

  Scenario: more runs are stopped at once than the limit of the other tenant allows
    Given the limit of tenant "u" is "0 0 1"
    And tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 8 tasks of 1 processors and 1 accelerators
    When 4 seconds pass with orders carried out
    Then 1 runs were ordered to stop, all of job "a"

  Scenario: runs are stopped for a job that ends too late to be of use
    Given tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And checkpoints are no longer reported
    And 1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 8 tasks of 1 processors and 1 accelerators
    When 30 seconds pass with orders carried out
    And checkpoints are reported again
    And 4 seconds pass with orders carried out
    Then no stop was sent

  Scenario: after a stop of the earlier leader the new one starts the run again, or stops another
    Given tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 1 tasks of 1 processors and 1 accelerators
    When seconds pass until a run is ordered to stop
    And a new leader takes over
    And 4 seconds pass with orders carried out
    Then 1 runs were ordered to stop, all of job "a"
    And 1 tasks of job "b" run
    And 7 tasks of job "a" run

  Scenario Outline: a run is stopped in vain, or kept, while a minion is set aside <how>
    Given tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And 3 runs of minion "m2" fail
    And <seconds> seconds pass with orders carried out
    And tenant "u" submits job "b" of <count> tasks of 1 processors and 1 accelerators
    When 0.3 seconds pass with orders carried out
    Then <pauses> runs are paused
    When 3 seconds pass with orders carried out
    Then <stops> runs were ordered to stop, all of job "a"
    And <count> tasks of job "b" run

    Examples: a minion is set aside for 4 s, a run ends 0.8 s after its pause at the earliest
      | how                                  | seconds | count | pauses | stops |
      | that is usable before the run ends   | 3.6     | 1     | 0      | 0     |
      | that will have room for all tasks    | 3.6     | 3     | 0      | 0     |
      | that will have room for three tasks  | 3.6     | 4     | 1      | 1     |
      | that is usable after the run's end   | 1       | 1     | 1      | 1     |

  Scenario: a round fails while a stopped run has not ended and no minion is usable any more
    Given tenant "t" submits job "a" of 4 checkpointing fillers of 1 processors and 2 accelerators
    And 1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 1 fillers of 1 processors and 1 accelerators
    When seconds pass until a run is ordered to stop
    And all minions fall silent
    And tenant "u" submits job "l" of 1 lasting tasks of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And the minions answer again
    And 2 seconds pass with orders carried out
    Then 1 runs were ordered to stop, all of job "a"
    And 1 tasks of job "b" run
    And 1 tasks of job "l" run

  Scenario Outline: one task is stopped again within 10 s (<leaders>)
    Given the minions have 1 accelerators
    And tenant "t" submits job "a" of 2 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    When tenant "u" submits short jobs with 1 accelerators for 30 seconds under <leaders>
    Then no task was stopped twice within 10 s

    Examples:
      | leaders         |
      | one leader      |
      | several leaders |

  Scenario: tenants that need less count for the shares, or fillers claim what was reclaimed
    Given 200 tenants of which 50 submit 1 jobs of 1 tasks
    And minion "m1" has 100 processors and 64000 MB
    And the minions have 4 accelerators
    And tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    When tenant "u" submits job "b" of 8 tasks of 1 processors and 1 accelerators
    And 8 seconds pass with orders carried out
    Then 2 runs were ordered to stop, all of job "a"
    And 2 tasks of job "b" run

  Scenario Outline: a tenant with weight 0 <fault>
    Given the weight of tenant "<weightless>" is 0
    And tenant "t" submits job "a" of 8 checkpointing fillers of 1 processors and 1 accelerators
    And 1 seconds pass with orders carried out
    And tenant "u" submits job "b" of 8 tasks of 1 processors and 1 accelerators
    When 12 seconds pass with orders carried out
    Then <stops> runs were ordered to stop, all of job "a"

    Examples:
      | weightless | fault                                     | stops |
      | u          | takes capacity back                       | 0     |
      | t          | keeps capacity that others are entitled to | 8    |

  Scenario Outline: a rule of reclaim is broken in a random history
    Then the rules of reclaim hold in <rounds> rounds of random events, seed <seed>

    Examples:
      | rounds | seed |
      | 400    | 1    |
      | 400    | 8    |
      | 400    | 33   |
      | 400    | 365  |
      | 400    | 4    |
      | 400    | 6    |
      | 400    | 19   |

    Examples: tasks of the tenant that gives up a run come first once it is stopped
      | rounds | seed  |
      | 400    | 7006  |
      | 400    | 11143 |

    Examples: another minion becomes usable for the waiting task once a run is stopped for it
      | rounds | seed  |
      | 400    | 21815 |
      | 400    | 21949 |
