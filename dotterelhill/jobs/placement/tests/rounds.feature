Feature: Scheduling rounds that keep ranks, sums and failed attempts

  Scenario Outline: A round that keeps something outdated chooses other starts than a full one
    Given a random load with seed <seed>, <tenants> tenants and <percent> % lasting tasks
    And the same load with all that is kept between rounds computed anew
    When both run for 150 rounds
    Then they choose the same starts in the same order

    Examples:
      | seed | tenants | percent |
      | 1    | 0       | 0       |
      | 2    | 0       | 15      |
      | 3    | 0       | 40      |
      | 4    | 4       | 0       |
      | 5    | 12      | 15      |
      | 6    | 2       | 30      |

  Scenario Outline: A cost that depends on the job is taken for an equal task of another job
    Given costs of a round in which the only minion is <condition>
    When a task may start there, and then an equal one of another job may not
    Then the second one gets <answer>

    Examples:
      | condition       | answer                |
      | claimed         | no cost               |
      | slow            | no cost               |
      | like all others | the cost of the first |

  Scenario Outline: Fillers that fit nowhere take most of the time of a leader that plans slowly, or wait on one that plans fast
    Given a filler that fits on none of 20 minions
    And rounds of <search> s in which it is tried on all minions, and of <other> s else
    When rounds are planned for 20 s, with pauses of <pause> s
    Then it was tried on all minions for <least> to <most> of the time
    And it was tried at least each <interval> s

    Examples: a search may take a fifth of the time, a filler claims a minion after 2 s
      | search | other | pause | least | most | interval |
      | 0.2    | 0.02  | 0.1   | 0.1   | 0.2  | 1.2      |
      | 0.05   | 0.02  | 0.05  | 0.1   | 0.2  | 0.4      |
      | 0.004  | 0.002 | 0.03  | 0.02  | 0.1  | 0.15     |
      | 1.5    | 0.1   | 0.1   | 0.2   | 0.75 | 2.2      |

  Scenario: Several fillers that have waited for long look for a minion in one round
    Given a random load with seed 3, 0 tenants and 40 % lasting tasks
    When it runs for 300 rounds and searches for claimed minions are counted
    Then there was at most 1 search in each round, and more than 20 in all
