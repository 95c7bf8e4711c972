/** Changes of the configuration: their scope, their effect, and the check of references. */
import type { Finding } from '../../errors.js'
import type { Change, Configuration } from '../../types/configuration.js'

/** Scope of a `replace`; it conflicts with every other scope. */
export const globalScope = '*'

/** Part of the configuration that a change affects, such as `data-centre/NAME`; changes of the same scope conflict. */
export function scopeOf (change: Change): string {
  switch (change.kind) {
    case 'replace': return globalScope
    case 'data-centre': return `data-centre/${change.dataCentre}`
    case 'intent': return `intent/${change.intent.id}`
    case 'withdraw': return `intent/${change.intent}`
  }
}

/** Applies a change; returns the new configuration, or the findings because of which it is invalid. */
export function applyChange (configuration: Configuration | undefined, change: Change): Configuration | readonly Finding[] {
  if (change.kind === 'replace') {
    const findings = checkReferences(change.configuration)
    return findings.length === 0 ? change.configuration : findings
  }
  if (configuration === undefined) return [{ place: scopeOf(change), problem: 'no configuration has been applied yet' }]
  const changed = applyScopedChange(configuration, change)
  if (isFindings(changed)) return changed
  const findings = checkReferences(changed)
  return findings.length === 0 ? changed : findings
}

/** Whether `applyChange` returned findings. */
export function isFindings (result: Configuration | readonly Finding[]): result is readonly Finding[] {
  return Array.isArray(result)
}

function applyScopedChange (configuration: Configuration, change: Exclude<Change, { kind: 'replace' }>): Configuration | readonly Finding[] {
  switch (change.kind) {
    case 'data-centre': {
      const dataCentre = configuration.dataCentres[change.dataCentre]
      if (dataCentre === undefined) return [{ place: scopeOf(change), problem: 'no such data centre' }]
      const dataCentres = { ...configuration.dataCentres, [change.dataCentre]: { ...dataCentre, state: change.state } }
      return { ...configuration, dataCentres }
    }
    case 'intent':
      return { ...configuration, intents: { ...configuration.intents, [change.intent.id]: change.intent } }
    case 'withdraw': {
      const { [change.intent]: withdrawn, ...intents } = configuration.intents
      if (withdrawn === undefined) return [{ place: scopeOf(change), problem: 'no such intent' }]
      return { ...configuration, intents }
    }
  }
}

/** Findings for references to unknown data centres, organisations or services, and for values that contradict each other. */
export function checkReferences (configuration: Configuration): readonly Finding[] {
  const findings: Finding[] = []
  const { deployment, dataCentres, organisations, services, intents } = configuration
  const checkKnown = (known: Readonly<Record<string, unknown>>, name: string, place: string, kind: string): void => {
    if (!Object.hasOwn(known, name)) findings.push({ place, problem: `names the unknown ${kind} "${name}"` })
  }
  checkKnown(dataCentres, deployment.logDataCentre, 'deployment.logDataCentre', 'data centre')
  for (const [id, intent] of Object.entries(intents)) {
    const place = `intents.${id}`
    if (intent.id !== id) findings.push({ place: `${place}.id`, problem: `differs from its key "${id}"` })
    checkKnown(services, intent.service, `${place}.service`, 'service')
    if (services[intent.service]?.kind === 'plain') findings.push({ place: `${place}.service`, problem: 'is a plain service, which loads no weights' })
    for (const organisation of intent.organisations) checkKnown(organisations, organisation, `${place}.organisations`, 'organisation')
    for (const dataCentre of intent.dataCentres) checkKnown(dataCentres, dataCentre, `${place}.dataCentres`, 'data centre')
  }
  for (const [name, service] of Object.entries(services)) {
    if (service.coldBound > service.fullBound) findings.push({ place: `services.${name}.coldBound`, problem: 'is above fullBound' })
  }
  return findings
}
