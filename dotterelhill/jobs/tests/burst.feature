Feature: placement of a burst of fillers on a large fleet

  Scenario: many waiting fillers make one scheduling round take longer than the round interval
    Given a fleet of 246 minions with 1400 serving tasks of 10 images
    When 150 jobs of 20 fillers of 18 images are submitted at once
    Then 500 or more fillers start within 3 rounds
    And the filler cost of a minion is computed at most 150 times on average
