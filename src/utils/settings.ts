/** Reads settings from flags, then environment variables, and reports every fault together. */
import type { z } from 'zod'
import { FindingsError } from '../errors.js'

/** Values as they come from the command line and the environment. */
export interface RawSettings {
  readonly flags: Readonly<Record<string, unknown>>
  readonly environment: Readonly<Record<string, string | undefined>>
}

/** Checks raw settings against a schema; a flag goes before its variable `POLLENDYKE_NAME`. */
export function readSettings<Schema extends z.ZodType> (schema: Schema, names: readonly string[], raw: RawSettings): z.infer<Schema> {
  const known = new Set(names)
  const unknown = Object.keys(raw.flags).filter(flag => !known.has(flag))
  const findings = unknown.map(flag => ({ place: `--${kebab(flag)}`, problem: 'is not a known flag' }))
  const values = Object.fromEntries(names.map(name => [name, pick(name, raw)]).filter(([, value]) => value !== undefined))
  const parsed = schema.safeParse(values)
  if (parsed.success && findings.length === 0) return parsed.data
  const problems = parsed.success ? [] : parsed.error.issues.map(issue => ({ place: placeOf(issue.path), problem: issue.message }))
  throw new FindingsError([...findings, ...problems])
}

/** Environment variable of a setting. */
export function variableOf (name: string): string {
  return `POLLENDYKE_${kebab(name).replaceAll('-', '_').toUpperCase()}`
}

function pick (name: string, raw: RawSettings): unknown {
  const flag = raw.flags[name]
  if (flag !== undefined) return typeof flag === 'number' ? String(flag) : flag
  return raw.environment[variableOf(name)]
}

function placeOf (path: readonly PropertyKey[]): string {
  const name = String(path[0] ?? 'role')
  return `--${kebab(name)} (${variableOf(name)})`
}

function kebab (name: string): string {
  return name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}
