Feature: Scheduling rounds that keep ranks and sums

  Scenario Outline: A round that keeps an outdated rank or sum chooses another start than a full one
    Given a random load with seed <seed>, <tenants> tenants and <percent> % lasting tasks
    And the same load with ranks and sums that are computed anew in each round
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
