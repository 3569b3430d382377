Feature: Reference of docs/operators.md

  Scenario: The page would lag behind the settings, metrics, error kinds or exit statuses
    Given the page for operators
    Then its tables are those of the code
    And it has the tables settings, errors, statuses, metrics

  Scenario: A term of the code would be missing from the glossary
    Given the glossary
    Then it explains each of: worker, failure domain, member, minion, lease, fencing token, evidence
    And both directions name the same terms
