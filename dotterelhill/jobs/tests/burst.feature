Feature: a burst of long jobs on a large fleet

  Scenario: the decisions of one round cost more than the time between two rounds
    Given a fleet of 246 minions with 1400 serving tasks of 10 images
    When 150 jobs of 20 fillers of 18 images are submitted at once
    Then 500 or more fillers start within 3 turns
    And each minion was asked for its cost at most 150 times
