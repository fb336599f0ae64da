package design

//nolint:revive,staticcheck // goa's design language is written with dot imports
import . "goa.design/goa/v3/dsl"

var _ = Service("operator", func() {
	Description("Lets operators state classes, targets and applications, and see what the system does.")
	Security(BearerAuth)

	// The rest of the statuses are declared where they occur: goa generates
	// types for each pair of method and status.
	Error(errUnauthorized, AccessFailure, "The API key is missing or unknown.")
	Error(errForbidden, AccessFailure, "The API key is not an operator's.")

	HTTP(func() {
		Path("/v1/operator")
		Response(errUnauthorized, StatusUnauthorized)
		Response(errForbidden, StatusForbidden)
	})

	Method("list_classes", func() {
		Description("Lists the classes in force on this host.")
		Payload(func() {
			token()
			Attribute("tenant", String, "Only this tenant's classes.")
		})
		Result(ClassList)
		HTTP(func() {
			GET("/classes")
			Param("tenant")
		})
	})
	Method("show_class", func() {
		Description("Shows a class in force on this host.")
		Payload(func() {
			token()
			classPath()
		})
		Result(ClassEntry)
		Error(errNotFound, OperatorFailure)
		HTTP(func() {
			GET("/classes/{tenant}/{name}")
			Response(errNotFound, StatusNotFound)
		})
	})
	Method("set_class", func() {
		Description("Makes or changes a class.")
		Payload(func() {
			token()
			change()
			classPath()
			classTargets()
			Required("kind", "application", "completion_target_ms")
		})
		Result(ChangeResult)
		changeErrors()
		HTTP(func() {
			PUT("/classes/{tenant}/{name}")
			changeResponses()
		})
	})
	Method("delete_class", func() {
		Description("Removes a class.")
		Payload(func() {
			token()
			change()
			classPath()
		})
		Result(ChangeResult)
		changeErrors()
		HTTP(func() {
			DELETE("/classes/{tenant}/{name}")
			Param("if_revision")
			Param("change_id")
			changeResponses()
		})
	})

	Method("list_applications", func() {
		Description("Lists the applications in force on this host.")
		Payload(func() { token() })
		Result(ApplicationList)
		HTTP(func() { GET("/applications") })
	})
	Method("show_application", func() {
		Description("Shows an application in force on this host.")
		Payload(func() {
			token()
			applicationPath()
		})
		Result(ApplicationEntry)
		Error(errNotFound, OperatorFailure)
		HTTP(func() {
			GET("/applications/{name}")
			Response(errNotFound, StatusNotFound)
		})
	})
	Method("set_application", func() {
		Description("Makes or changes an application.")
		Payload(func() {
			token()
			change()
			applicationPath()
			applicationFields()
		})
		Result(ChangeResult)
		changeErrors()
		HTTP(func() {
			PUT("/applications/{name}")
			changeResponses()
		})
	})
	Method("delete_application", func() {
		Description("Removes an application.")
		Payload(func() {
			token()
			change()
			applicationPath()
		})
		Result(ChangeResult)
		changeErrors()
		HTTP(func() {
			DELETE("/applications/{name}")
			Param("if_revision")
			Param("change_id")
			changeResponses()
		})
	})

	Method("show_change", func() {
		Description("Says at which revision a change was accepted.")
		Payload(func() {
			token()
			Attribute("change_id", String, "Identifier of the change.")
			Required("change_id")
		})
		Result(ChangeResult)
		Error(errNotFound, OperatorFailure)
		Error(errRefused, OperatorFailure)
		HTTP(func() {
			GET("/changes/{change_id}")
			Response(errNotFound, StatusNotFound)
			Response(errRefused, StatusServiceUnavailable)
		})
	})
	Method("status", func() {
		Description("Shows what this host knows of itself, its peers, the endpoints and the zone authorities.")
		Payload(func() { token() })
		Result(StatusResult)
		HTTP(func() { GET("/status") })
	})
	Method("drain", func() {
		Description("Begins a graceful shutdown of this host: it takes no new requests and ends the running ones.")
		Payload(func() { token() })
		Result(DrainResult)
		HTTP(func() {
			POST("/drain")
			Response(StatusAccepted)
		})
	})
})

// changeErrors declares how a change can fail.
func changeErrors() {
	Error(errInvalid, OperatorFailure, "The request is malformed or the configuration invalid.")
	Error(errConflict, OperatorFailure, "The entry changed since the revision named; nothing was written.")
	Error(errNotFound, OperatorFailure, "There is no such class or application.")
	Error(errRefused, OperatorFailure, "The configuration store can't be reached; nothing was written.")
	Error(errUnknown, OperatorFailure, "The change may have been made: ask with its change id.")
}

// changeResponses gives the failures of a change their statuses.
func changeResponses() {
	Response(errInvalid, StatusBadRequest)
	Response(errConflict, StatusConflict)
	Response(errNotFound, StatusNotFound)
	Response(errRefused, StatusServiceUnavailable)
	Response(errUnknown, StatusGatewayTimeout)
}

// change adds what names a change and guards it against races.
func change() {
	// Not with goa's Default(-1): the generated client sends the default in
	// place of 0, and "must be absent" would become "whatever is there".
	Attribute("if_revision", Int64, "Entry revision that the change was made from. 0: the entry must be absent; -1, or absent: whatever is there.", func() {
		Minimum(-1)
	})
	Attribute("change_id", String, "Identifier of the change, made by the client; a repeat with the same id is the same change. Made by the server when absent.", func() {
		MaxLength(128)
	})
}

// classPath adds a class's tenant and name.
func classPath() {
	Attribute("tenant", String, "Tenant of the class.", func() {
		MinLength(1)
		MaxLength(128)
	})
	Attribute("name", String, "Name of the class.", func() {
		MinLength(1)
		MaxLength(128)
	})
	Required("tenant", "name")
}

// classTargets adds what an operator states of a class.
func classTargets() {
	Attribute("kind", String, "What the class's requests are.", func() {
		Enum("generate", "call")
	})
	Attribute("application", String, "Application whose endpoints serve the class.", func() {
		MinLength(1)
		MaxLength(128)
	})
	Attribute("repeatable", Boolean, "True where running a request twice does no harm. A generation is always repeatable.", func() {
		Default(false)
	})
	Attribute("first_token_target_ms", Int64, "Longest wait for the first token; 0: no target.", func() {
		Minimum(0)
		Default(0)
	})
	Attribute("between_tokens_target_ms", Int64, "Longest mean gap between tokens; 0: no target.", func() {
		Minimum(0)
		Default(0)
	})
	Attribute("completion_target_ms", Int64, "Longest time to the whole answer.", func() {
		Minimum(1)
	})
}

// applicationPath adds an application's name.
func applicationPath() {
	Attribute("name", String, "Name of the application.", func() {
		MinLength(1)
		MaxLength(128)
	})
	Required("name")
}

// applicationFields adds what an operator states of an application.
func applicationFields() {
	Attribute("model", String, "Model that the engines are to have loaded; empty for a plain service.", func() {
		Default("")
	})
	Attribute("version", String, "Version of the model.", func() {
		Default("")
	})
	Attribute("adapter", String, "Adapter of the model; empty when none.", func() {
		Default("")
	})
	Attribute("role_changes_per_hour", Int, "Target for how many role changes of the application's engines are tolerated in an hour.", func() {
		Minimum(0)
		Default(0)
	})
}

// Class is a tenant's class of work.
var Class = Type("Class", func() {
	classPath()
	classTargets()
	Required("kind", "application", "repeatable", "first_token_target_ms", "between_tokens_target_ms", "completion_target_ms")
})

// ClassEntry is a class with its revision.
var ClassEntry = Type("ClassEntry", func() {
	Attribute("class", Class, "The class.")
	Attribute("revision", Int64, "Configuration revision of its last change.")
	Required("class", "revision")
})

// ClassList is the answer to list_classes.
var ClassList = Type("ClassList", func() {
	Attribute("classes", ArrayOf(ClassEntry), "By tenant and name.")
	Required("classes")
})

// Application is a model application or plain service.
var Application = Type("Application", func() {
	applicationPath()
	applicationFields()
	Required("model", "version", "adapter", "role_changes_per_hour")
})

// ApplicationEntry is an application with its revision.
var ApplicationEntry = Type("ApplicationEntry", func() {
	Attribute("application", Application, "The application.")
	Attribute("revision", Int64, "Configuration revision of its last change.")
	Required("application", "revision")
})

// ApplicationList is the answer to list_applications.
var ApplicationList = Type("ApplicationList", func() {
	Attribute("applications", ArrayOf(ApplicationEntry), "By name.")
	Required("applications")
})

// ChangeResult is an accepted change.
var ChangeResult = Type("ChangeResult", func() {
	Attribute("change_id", String, "Identifier of the change.")
	Attribute("revision", Int64, "Configuration revision at which it was accepted.")
	Required("change_id", "revision")
})

// DrainResult says that a drain has begun.
var DrainResult = Type("DrainResult", func() {
	Attribute("draining", Boolean, "True once the drain has begun.")
	Required("draining")
})

// OperatorFailure is an operator's request that was not done, or may not have been.
var OperatorFailure = Type("OperatorFailure", func() {
	ErrorName("name", String, "Status of the failure.")
	Attribute("reason", String, "Snake case, for programs.")
	Attribute("detail", String, "One line for people.")
	Attribute("field", String, "Of an invalid request: the field at fault.")
	Attribute("accepted", String, "Of an invalid request: what would be accepted.")
	Attribute("change_id", String, "Of a change: its identifier, to ask about its outcome with.")
	Attribute("current_revision", Int64, "Of a race: revision of the entry as it is now; 0 when it is absent.")
	Attribute("current_class", Class, "Of a race: the class as it is now.")
	Attribute("current_application", Application, "Of a race: the application as it is now.")
	Attribute("differences", ArrayOf(Difference), "Of a race: fields in which the entry differs from the one asked for.")
	Required("name", "reason", "detail")
})

// AccessFailure is a request without a valid API key.
var AccessFailure = Type("AccessFailure", func() {
	ErrorName("name", String, "Status of the failure.")
	Attribute("reason", String, "Snake case, for programs.")
	Attribute("detail", String, "One line for people.")
	Required("name", "reason", "detail")
})

// Difference is one field in which two entries differ.
var Difference = Type("Difference", func() {
	Attribute("field", String, "Name of the field.")
	Attribute("current", String, "Value as it is now.")
	Attribute("requested", String, "Value that the change asked for.")
	Required("field", "current", "requested")
})
