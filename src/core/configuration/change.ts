/** Changes of the configuration: their scope, their effect, and the checks across references. */
import type { Finding } from '../../errors.js'
import type { Change, Configuration } from '../../types/configuration.js'

/** Scope of a `replace`, which conflicts with every other change. */
export const globalScope = '*'

/** What a change touches; two changes of one scope conflict. */
export function scopeOf (change: Change): string {
  switch (change.kind) {
    case 'replace': return globalScope
    case 'data-centre': return `data-centre/${change.dataCentre}`
    case 'intent': return `intent/${change.intent.id}`
    case 'withdraw': return `intent/${change.intent}`
  }
}

/** Configuration after a change, or the findings that forbid it. */
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

/** Whether the result of `applyChange` is a refusal. */
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

/** Findings of every reference to a data centre, organisation or service that does not exist. */
export function checkReferences (configuration: Configuration): readonly Finding[] {
  const findings: Finding[] = []
  const { deployment, dataCentres, organisations, services, intents } = configuration
  const need = (known: Readonly<Record<string, unknown>>, name: string, place: string, kind: string): void => {
    if (!Object.hasOwn(known, name)) findings.push({ place, problem: `names the unknown ${kind} "${name}"` })
  }
  need(dataCentres, deployment.logDataCentre, 'deployment.logDataCentre', 'data centre')
  for (const [id, intent] of Object.entries(intents)) {
    const place = `intents.${id}`
    if (intent.id !== id) findings.push({ place: `${place}.id`, problem: `differs from its key "${id}"` })
    need(services, intent.service, `${place}.service`, 'service')
    if (services[intent.service]?.kind === 'plain') findings.push({ place: `${place}.service`, problem: 'is a plain service, which loads no weights' })
    for (const organisation of intent.organisations) need(organisations, organisation, `${place}.organisations`, 'organisation')
    for (const dataCentre of intent.dataCentres) need(dataCentres, dataCentre, `${place}.dataCentres`, 'data centre')
  }
  for (const [name, service] of Object.entries(services)) {
    if (service.coldBound > service.fullBound) findings.push({ place: `services.${name}.coldBound`, problem: 'is above fullBound' })
  }
  return findings
}
