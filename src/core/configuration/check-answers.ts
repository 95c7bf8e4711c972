/** Validates questionnaire answers, changes and configurations; reports all findings with their places together. */
import type { z } from 'zod'
import { FindingsError, type Finding } from '../../errors.js'
import { answersSchema, type Answers } from '../../types/answers.js'
import { changeSchema, configurationSchema, type Change } from '../../types/configuration.js'
import { checkReferences } from './change.js'

/** Validates questionnaire answers; throws a `FindingsError` with all findings. */
export function checkAnswers (value: unknown): Answers {
  const findings = [...shapeFindings(answersSchema, value), ...referenceFindings(value)]
  if (findings.length > 0) throw new FindingsError(findings)
  return answersSchema.parse(value)
}

/** Validates a change; a value without `kind` is taken as a configuration that replaces the current one. Throws a `FindingsError` with all findings. */
export function checkChange (value: unknown): Change {
  const isChange = typeof value === 'object' && value !== null && 'kind' in value
  const findings = isChange ? shapeFindings(changeSchema, value) : shapeFindings(configurationSchema, value)
  if (findings.length > 0) throw new FindingsError(findings)
  const change = isChange ? changeSchema.parse(value) : changeSchema.parse({ kind: 'replace', configuration: value })
  const references = change.kind === 'replace' ? checkReferences(change.configuration) : []
  if (references.length > 0) throw new FindingsError(references)
  return change
}

/** All findings of a schema for a value, with places such as `services[0].name`. */
export function shapeFindings (schema: z.ZodType, value: unknown): readonly Finding[] {
  const parsed = schema.safeParse(value)
  if (parsed.success) return []
  return parsed.error.issues.map(issue => ({ place: formatPlace(issue.path), problem: issue.message }))
}

/** Findings across answers; parts that do not match the schema are skipped, so that all other findings are still reported. */
function referenceFindings (value: unknown): readonly Finding[] {
  if (typeof value !== 'object' || value === null) return []
  const answers = value as Readonly<Record<string, unknown>>
  const names = (section: string): ReadonlyArray<string | undefined> => {
    const list = answers[section]
    return Array.isArray(list) ? list.map((item: unknown) => stringMember(item, 'name')) : []
  }
  const findings: Finding[] = []
  for (const section of ['dataCentres', 'organisations', 'services']) {
    names(section).forEach((name, index, all) => {
      if (name !== undefined && all.indexOf(name) < index) findings.push({ place: `${section}[${index}].name`, problem: `repeats the name "${name}"` })
    })
  }
  const { logDataCentre } = answers
  if (typeof logDataCentre === 'string' && !names('dataCentres').includes(logDataCentre)) findings.push({ place: 'logDataCentre', problem: `names the unknown data centre "${logDataCentre}"` })
  return [...findings, ...boundFindings(answers['services'])]
}

function boundFindings (services: unknown): readonly Finding[] {
  if (!Array.isArray(services)) return []
  return services.flatMap((service: unknown, index): readonly Finding[] => {
    if (typeof service !== 'object' || service === null) return []
    const { bearsCold, bearsWarm } = service as Readonly<Record<string, unknown>>
    if (typeof bearsCold !== 'number' || typeof bearsWarm !== 'number' || bearsCold <= bearsWarm) return []
    return [{ place: `services[${index}].bearsCold`, problem: `is ${bearsCold}, above bearsWarm, which is ${bearsWarm}` }]
  })
}

function stringMember (item: unknown, key: string): string | undefined {
  if (typeof item !== 'object' || item === null) return undefined
  const member = (item as Readonly<Record<string, unknown>>)[key]
  return typeof member === 'string' ? member : undefined
}

function formatPlace (path: readonly PropertyKey[]): string {
  const text = path.reduce<string>((place, part) => typeof part === 'number' ? `${place}[${part}]` : `${place}.${String(part)}`, '')
  return text === '' ? 'the whole file' : text.replace(/^\./, '')
}
