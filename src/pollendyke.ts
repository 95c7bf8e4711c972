/** Public entry point: pure functions, schemas and types for other programs. */
export { emptyFold, foldPage, foldRecord } from './core/configuration/fold.js'
export { applyChange, checkReferences, scopeOf } from './core/configuration/change.js'
export { configurationSchema, type Change, type Configuration, type Intent } from './types/configuration.js'
export { headers, type AnswerLine, type LocateAnswer as Located, type Outcome } from './types/messages.js'
export { FindingsError, type Finding } from './errors.js'
