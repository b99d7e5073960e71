Feature: Recovery from process and platform faults

  @fixture.deployment.association
  Scenario: A sidecar is killed and restarted
    When the caller queries "tapster-lm/stall-0001:1" until a request succeeds
    And process "sidecar-tapster-lm-1" is killed
    And the caller queries "tapster-lm/stall-0001:1" until a request succeeds
    Then the answer is from version 1 of "stall-0001" of "tapster-lm"
    When process "sidecar-tapster-lm-1" is restarted
    And process "sidecar-tapster-lm-2" is killed
    And the caller queries "tapster-lm/stall-0002:1" until a request succeeds
    Then the answer is from version 1 of "stall-0002" of "tapster-lm"
    And no request ran twice and no adapter was unloaded in flight

  @fixture.deployment.association
  Scenario: A sidecar is suspended and resumed
    When process "sidecar-tapster-lm-1" is suspended
    And the caller queries "tapster-lm/stall-0001:1" until a request succeeds
    And the caller queries "tapster-lm/stall-0002:1" until a request succeeds
    And process "sidecar-tapster-lm-1" is resumed
    And process "sidecar-tapster-lm-2" is suspended
    And the caller queries "tapster-lm/stall-0003:1" until a request succeeds
    Then the answer is from version 1 of "stall-0003" of "tapster-lm"
    And no request ran twice and no adapter was unloaded in flight

  @fixture.deployment.association
  Scenario: Engines crash and restart without their adapters
    When the caller queries "tapster-lm/stall-0001:1" until a request succeeds
    And stand-in "tapster-lm-1" has faults '{"crash": true}'
    And stand-in "tapster-lm-2" has faults '{"crash": true}'
    And the caller queries "tapster-lm/stall-0001:1" until a request succeeds
    Then the answer is from version 1 of "stall-0001" of "tapster-lm"
    And no request ran twice and no adapter was unloaded in flight

  @fixture.deployment.kauri-ridge
  Scenario: The platform services are unavailable
    When stand-in "table" has faults '{"frozen": true}'
    And stand-in "objects" has faults '{"down": "closed"}'
    And stand-in "vms" has faults '{"down": "503"}'
    And the caller queries "kernel-assist/grower-0001:1" until a request succeeds
    Then the answer is from version 1 of "grower-0001" of "kernel-assist"

  @fixture.deployment.kauri-ridge
  Scenario: Some adapter weights cannot be loaded
    When stand-in "weights" has faults '{"fail_paths": ["kernel-assist/grower-0001/1"]}'
    And the caller queries "kernel-assist/grower-0002:1" until a request succeeds
    And stand-in "weights" has faults '{"fail_paths": []}'
    And the caller queries "kernel-assist/grower-0001:1" until a request succeeds
    Then the answer is from version 1 of "grower-0001" of "kernel-assist"
