Feature: Configurations of the present build and of the one before tenants

  Scenario: A configuration of the earlier build is refused, or asks for keys
    When a configuration of the earlier build is read
    Then it has the queues, pools and limits that it names, and no tenants
    And a request without a key is handled under it

  Scenario: Tenants stop the earlier build from reading a configuration, or make it ask for keys
    When a configuration with tenants is read by the earlier build
    Then it finds the queues, pools and limits, and nothing of the tenants
    When the same configuration is read
    Then a request without a key is refused under it
