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
