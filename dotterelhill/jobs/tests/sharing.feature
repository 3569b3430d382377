Feature: fillers share minions with serving tasks

  Background:
    Given a fleet with minions "m1 m2" of 32 processors

  Scenario: a filler starts beside a serving task that is near its target
    Given serving job "s" of image "web" with target 50 ms on "m1 m2"
    And the tails of job "s" are 45 ms for 5 seconds
    When job "f" of 2 fillers of image "print" is submitted
    And 2 turns pass
    Then 0 fillers run

  Scenario: fillers wait although serving tasks have headroom
    Given serving job "s" of image "web" with target 50 ms on "m1 m2"
    And the tails of job "s" are 15 ms for 5 seconds
    When job "f" of 4 fillers of image "print" is submitted
    And 2 turns pass
    Then 4 fillers run

  Scenario: a filler that pushes a serving task over its target goes on at full pace
    Given serving job "s" of image "web" with target 50 ms on "m1 m2"
    And the tails of job "s" are 18 ms for 5 seconds
    When job "f" of 2 fillers of image "print" is submitted
    And 2 turns pass
    And the tails beside fillers are 70 ms for 2 seconds
    Then every filler beside job "s" is paced below 30 percent

  Scenario: a filler is paced down only once a serving task is over its target
    Given serving job "s" of image "web" with target 50 ms on "m1 m2"
    And the tails of job "s" are 18 ms for 5 seconds
    When job "f" of 2 fillers of image "print" is submitted
    And 2 turns pass
    And the tails beside fillers are 46 ms for 2 seconds
    Then every filler beside job "s" is paced below 90 percent

  Scenario: a filler stays paced down after the load of the serving task has fallen
    Given serving job "s" of image "web" with target 50 ms on "m1 m2"
    And the tails of job "s" are 18 ms for 5 seconds
    When job "f" of 2 fillers of image "print" is submitted
    And 2 turns pass
    And the tails beside fillers are 47 ms for 1 seconds
    And the tails beside fillers are 13 ms for 6 seconds
    Then every filler beside job "s" is paced above 90 percent

  Scenario: an image that harms is tried again and again beside the same image
    Given serving job "s" of image "web" with target 50 ms on "m1"
    And the tails of job "s" are 18 ms for 5 seconds
    And the effect of "print" on "web" is known to be 12
    And the effect of "scan" on "web" is known to be 0
    When job "f" of 4 fillers of image "scan" is submitted
    And 2 turns pass
    Then 4 fillers run
    When job "g" of 8 fillers of image "print" is submitted
    And 2 turns pass
    Then no filler of job "g" runs on "m1"

  Scenario: serving images mix on minions while others are empty
    Given serving job "s" of image "web" with target 50 ms on "m1"
    When job "t" of 2 serving tasks of image "api" is submitted
    And 2 turns pass
    Then job "t" runs on "m2" only
    When job "u" of 2 serving tasks of image "web" is submitted
    And 2 turns pass
    Then job "u" runs on "m1" only

  Scenario: short tasks take the minions without serving tasks from fillers
    Given serving job "s" of image "web" with target 50 ms on "m1"
    When job "a" of 4 tasks of 1 processors is submitted
    And 2 turns pass
    Then job "a" runs on "m1" only

  Scenario: a new leader learns the effects of images from the start
    Given serving job "s" of image "web" with target 50 ms on "m1"
    And the effect of "print" on "web" is known to be 9
    When a new leader takes over with the stored estimates
    Then the effect of "print" on "web" is 9

  Scenario: a job that can't be in time any more goes before one that can
    Given a fleet with minions "m1" of 1 processors
    And job "old" of 1 task of 1 processors
    When 40 seconds pass without a report
    And job "new" of 1 task of 1 processors is submitted
    And 2 turns pass
    Then 1 starts were sent in all
    And all starts were of job "new" with run 1
