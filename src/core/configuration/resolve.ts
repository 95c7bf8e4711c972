/** Resolves the configuration in force for an organisation (its intents) and for an instance (its weights). */
import type { Configuration, Intent } from '../../types/configuration.js'
import { rankMembers } from '../../utils/rendezvous.js'
import type { WantedWeights } from '../../types/weights.js'

/** Intents of an organisation for a service, the newest revision first; `revisions` is that of the fold state. */
export function intentsOf (configuration: Configuration, revisions: Readonly<Record<string, number>>, service: string, organisation: string): readonly Intent[] {
  return Object.values(configuration.intents)
    .filter(intent => intent.service === service && intent.organisations.includes(organisation))
    .sort((left, right) => (revisions[`intent/${right.id}`] ?? -1) - (revisions[`intent/${left.id}`] ?? -1))
}

/** Weights that an instance should serve, undefined for none; the manifests of a data centre are spread evenly over its instances. */
export function wantedWeights (configuration: Configuration, revisions: Readonly<Record<string, number>>, service: string, dataCentre: string, instance: string, instances: readonly string[]): WantedWeights | undefined {
  const current = currentIntents(configuration, revisions, service, dataCentre)
  if (current.length === 0) return undefined
  const members = instances.includes(instance) ? instances : [...instances, instance]
  const position = rankMembers(`${service}/${dataCentre}`, members).indexOf(instance)
  const intent = current[position % current.length]
  return intent === undefined ? undefined : { manifest: intent.manifest, finishBy: intent.finishBy }
}

/** Newest intent of each organisation for the data centre; one for each manifest, in manifest order. */
function currentIntents (configuration: Configuration, revisions: Readonly<Record<string, number>>, service: string, dataCentre: string): readonly Intent[] {
  const byManifest = new Map<string, Intent>()
  for (const organisation of Object.keys(configuration.organisations)) {
    const newest = intentsOf(configuration, revisions, service, organisation).find(intent => intent.dataCentres.includes(dataCentre))
    if (newest !== undefined) byManifest.set(newest.manifest, newest)
  }
  return [...byManifest.values()].sort((left, right) => left.manifest < right.manifest ? -1 : 1)
}
