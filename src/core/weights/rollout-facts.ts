/** What agents need of the operators' configuration. */
import type { FleetConfiguration, RolloutFacts } from '../../types/fleet.js'
import { isServiceResumable } from '../fleet/match-route.js'

/** Facts of a configuration for the agents of one service. */
export function rolloutFactsOf (configuration: FleetConfiguration, service: string): RolloutFacts {
  const services = [...configuration.services.values()]
  const engine = configuration.services.get(service)?.engine
  return {
    configurationVersion: configuration.version,
    models: engine?.models ?? [],
    chunkCount: engine?.chunkCount ?? 0,
    chunkBytes: engine?.chunkBytes ?? 0,
    origin: services.find(({ origin }) => origin !== undefined)?.origin,
    isResumable: isServiceResumable(configuration.routes, service)
  }
}

/** The facts of the higher configuration version; `known` when both are of the same. */
export function newerFacts (known: RolloutFacts | undefined, received: RolloutFacts): RolloutFacts {
  return known !== undefined && known.configurationVersion >= received.configurationVersion ? known : received
}

/** Whether two configurations have the same facts for a service, whatever their versions. */
export function areSameFacts (left: RolloutFacts | undefined, right: RolloutFacts | undefined): boolean {
  return contentOf(left) === contentOf(right)
}

function contentOf (facts: RolloutFacts | undefined): string {
  return facts === undefined ? '' : JSON.stringify([facts.models, facts.chunkCount, facts.chunkBytes, facts.origin?.address, facts.origin?.bytesPerSecond, facts.isResumable])
}
