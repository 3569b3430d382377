Feature: placement of fillers follows the periodic load of serving tasks

  Scenario: a periodic load is not detected, or a wrong period is estimated
    Given 4 serving steps whose headroom oscillates by 0.9 around 2.4 with a period of 14 seconds
    When they report for 30 seconds
    Then the period is known to be 14 seconds within 3 percent
    And the change of headroom over the next 3 seconds is forecast within 0.3

  Scenario: noise in the reports of a constant load is taken for a period
    Given 4 serving steps whose headroom oscillates by 0 around 2.4 with a period of 14 seconds
    When they report for 30 seconds
    Then no period is known

  Scenario: a part of a long period is taken for a short period
    Given 4 serving steps whose headroom oscillates by 0.9 around 2.4 with a period of 20 seconds
    When they report for 8 seconds
    Then no period below 15 seconds is known

  Scenario: new steps keep the period of older steps from being estimated
    Given 3 serving steps whose headroom oscillates by 0.9 around 2.4 with a period of 14 seconds
    When they report for 30 seconds while a new step is added every 3 seconds
    Then the period is known to be 14 seconds within 3 percent

  Scenario: the reports of ended steps are never removed
    Given 4 serving steps whose headroom oscillates by 0.9 around 2.4 with a period of 14 seconds
    When they report for 30 seconds
    And 30 seconds pass in which only the first step reports
    Then no change of headroom is forecast for the other steps

  Scenario: a new leader loses the estimated period
    Given 4 serving steps whose headroom oscillates by 0.9 around 2.4 with a period of 14 seconds
    When they report for 30 seconds
    And the estimates are stored and loaded again
    Then the period is known to be 14 seconds within 3 percent

  Scenario: a filler starts beside the serving task whose load is rising
    Given serving tasks on "up" and "down" whose periodic loads have opposite phases
    When both have the same headroom and that of "up" is falling
    And a filler is submitted
    Then the filler runs on "down"
