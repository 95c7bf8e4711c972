/** Checks a fleet configuration file and compares it with the configuration in force, before an operator sends it. */
import { checkFleetConfiguration } from '../core/fleet/check-configuration.js'
import { fleetDifferences, type FleetDifference } from '../core/fleet/configuration-differences.js'
import type { Finding } from '../errors.js'
import type { FleetConfiguration } from '../types/fleet.js'

/** A decoded file. */
export interface DecodedFile {
  /** Undefined for a file that holds no configuration at all. */
  readonly configuration: FleetConfiguration | undefined
  /** Entries that cannot be read, each with its place. */
  readonly findings: readonly Finding[]
}

/** The format in which a platform keeps its fleet configuration. */
export abstract class FleetFormat {
  /** Decodes the value of a file. */
  abstract decode (value: unknown): DecodedFile
  /** Reads the configuration in force from the platform's store at `address`, `ip:port`; undefined for none. Rejects if the store does not answer. */
  abstract readInForce (address: string): Promise<FleetConfiguration | undefined>
}

/** Result of a check. */
export interface CheckedConfiguration {
  readonly version: number
  /** Version that it was compared with; 0 for none. */
  readonly versionInForce: number
  readonly findings: readonly Finding[]
  readonly differences: readonly FleetDifference[]
}

/** Checks a decoded file, against the configuration in force if there is one. */
export function checkConfiguration ({ configuration, findings }: DecodedFile, inForce: FleetConfiguration | undefined): CheckedConfiguration {
  if (configuration === undefined) return { version: 0, versionInForce: inForce?.version ?? 0, findings, differences: [] }
  const isOutdated = inForce !== undefined && configuration.version <= inForce.version
  const outdated = isOutdated ? [{ place: 'version', problem: `is ${configuration.version}, not above the version in force, ${inForce.version}: entries would ignore it` }] : []
  return {
    version: configuration.version,
    versionInForce: inForce?.version ?? 0,
    findings: [...findings, ...outdated, ...checkFleetConfiguration(configuration)],
    differences: inForce === undefined ? [] : fleetDifferences(inForce, configuration)
  }
}
