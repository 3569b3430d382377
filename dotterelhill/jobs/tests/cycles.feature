Feature: fillers follow the swing of the load beside them

  Scenario: a swing of the load is not found, or with a wrong period
    Given 4 serving steps whose headroom swings by 0.9 around 2.4 with a period of 14 seconds
    When they report for 30 seconds
    Then the period is known to be 14 seconds within 3 percent
    And the change of headroom over the next 3 seconds is forecast within 0.3

  Scenario: a swing is found in a load that is only rough
    Given 4 serving steps whose headroom swings by 0 around 2.4 with a period of 14 seconds
    When they report for 30 seconds
    Then no period is known

  Scenario: a part of a long swing is taken for a short one
    Given 4 serving steps whose headroom swings by 0.9 around 2.4 with a period of 20 seconds
    When they report for 8 seconds
    Then no period below 15 seconds is known

  Scenario: steps that have just come keep the others from being searched
    Given 3 serving steps whose headroom swings by 0.9 around 2.4 with a period of 14 seconds
    When they report for 30 seconds while a new step comes every 3 seconds
    Then the period is known to be 14 seconds within 3 percent

  Scenario: steps that have ended are kept for good
    Given 4 serving steps whose headroom swings by 0.9 around 2.4 with a period of 14 seconds
    When they report for 30 seconds
    And 30 seconds pass in which only the first step reports
    Then nothing is forecast for the others

  Scenario: a new leader has to find the period again
    Given 4 serving steps whose headroom swings by 0.9 around 2.4 with a period of 14 seconds
    When they report for 30 seconds
    And the estimates are stored and loaded again
    Then the period is known to be 14 seconds within 3 percent

  Scenario: a filler starts beside the serving task whose load rises
    Given serving tasks on "up" and "down" whose loads swing in opposite phases
    When both have the same headroom, that of "up" falling
    And a filler is submitted
    Then it runs on "down"
